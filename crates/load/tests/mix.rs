//! The workload is determined by its seed and options.

use hickory_load::mix::{self, Arrival, Class, Length, Options, Part, Work};
use hickory_unit::size;
use std::collections::BTreeMap;
use std::time::Duration;

const ACCOUNTS: usize = 10;

fn options(seed: u64) -> Options {
    Options::mixed(seed, Duration::from_secs(60), 50.0)
}

fn with_arrival(arrival: Arrival) -> Options {
    let mut options = options(1);
    options.parts.iter_mut().for_each(|part| part.arrival = arrival);
    options
}

#[test]
fn same_seed_plans_the_same_requests() {
    let plan = mix::plan_requests(&options(7), ACCOUNTS);
    assert_eq!(plan, mix::plan_requests(&options(7), ACCOUNTS));
    assert_ne!(plan, mix::plan_requests(&options(8), ACCOUNTS));
}

#[test]
fn adding_a_part_does_not_change_the_other_parts() {
    let alone = Options {
        parts: vec![Part::new(Length::Short, Class::Interactive, 20.0)],
        ..Options::empty(3, Duration::from_secs(30))
    };
    let mut beside = alone.clone();
    beside.parts.push(Part::new(Length::Long, Class::Batch, 1.0));
    let short = |options: &Options| -> Vec<_> {
        let plan = mix::plan_requests(options, ACCOUNTS).into_iter();
        plan.filter(|request| matches!(request.work, Work::Completion { part, .. } if part.length == Length::Short))
            .collect()
    };
    assert_eq!(short(&alone), short(&beside));
}

#[test]
fn arrivals_match_the_rate_and_are_in_time_order() {
    for arrival in [Arrival::Poisson, Arrival::Bursts(10)] {
        let plan = mix::plan_requests(&with_arrival(arrival), ACCOUNTS);
        assert!((2_500..3_500).contains(&plan.len()), "{arrival:?}: {}", plan.len());
        assert!(plan.is_sorted_by_key(|request| request.send_at));
        assert!(plan.iter().all(|request| request.send_at < Duration::from_secs(60)));
    }
}

#[test]
fn requests_of_a_burst_arrive_together() {
    let plan = mix::plan_requests(&with_arrival(Arrival::Bursts(10)), ACCOUNTS);
    let mut together = BTreeMap::<Duration, usize>::new();
    plan.iter().for_each(|request| *together.entry(request.send_at).or_default() += 1);
    assert!(together.values().all(|count| count % 10 == 0));
}

#[test]
fn skew_prefers_the_first_accounts() {
    let count = |skew: f64, account: usize| {
        let plan = mix::plan_requests(&Options { skew, ..options(1) }, ACCOUNTS);
        plan.iter().filter(|request| request.account == account).count()
    };
    assert!(count(1.0, 0) > 5 * count(1.0, 9));
    assert!(count(0.0, 0) < 2 * count(0.0, 9));
}

#[test]
fn prompts_have_the_given_length_and_distinct_prefixes() {
    for length in Length::ALL {
        let prompt = mix::make_prompt(1, length.tokens());
        let bytes = size::Bytes(prompt.len() as u64);
        assert_eq!(size::Tokens::from_bytes(bytes), length.tokens());
    }
    let [one, two] = [1, 2].map(|salt| mix::make_prompt(salt, size::Tokens(1_000)));
    assert_ne!(one[..64], two[..64]);
}

#[test]
fn part_uses_only_its_accounts_and_start_time() {
    let from = Duration::from_secs(5);
    let mut part = Part::new(Length::Long, Class::Batch, 0.0);
    part.arrival = Arrival::Once(40);
    part.accounts = Some((3, 5));
    part.from = from;
    let options = Options { parts: vec![part], ..Options::empty(1, Duration::from_secs(9)) };
    let plan = mix::plan_requests(&options, ACCOUNTS);
    assert_eq!(plan.len(), 40);
    assert!(
        plan.iter().all(|request| request.send_at == from && (3..5).contains(&request.account))
    );
}
