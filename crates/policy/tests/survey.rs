//! Tests of the summary of engines for the logs.

use hickory_policy::plan::Load;
use hickory_policy::queue::Ahead;
use hickory_policy::survey::Survey;
use std::time::Duration;

mod profile;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A long prompt was refused beside engines that looked free. The summary must distinguish idle
/// engines from those without short streams, and both from engines without a free slot or with a
/// recent failure.
#[test]
fn engines_are_counted_by_reason() {
    let idle = Load::default();
    let reading = Load { prefill_backlog: ms(400), ..Load::default() };
    let short = Load { short_requests: 3, requests: 3, ..Load::default() };
    let full =
        Load { short_requests: 16, requests: 16, prefill_backlog: ms(40), ..Load::default() };
    let penalized = Load { penalty: ms(300), ..Load::default() };
    let loads = [idle, reading, short, full, penalized];
    let survey = Survey::new(
        Some(&profile::profile()),
        &loads,
        Ahead { prefill_time: ms(700), short_prompts: 2 },
    );
    let expected = Survey {
        engines: 5,
        full: 1,
        idle: 3,
        without_short: 3,
        penalized: 1,
        prefill_backlog: ms(440),
        ahead_prefill_time: ms(700),
        ahead_short_prompts: 2,
    };
    assert_eq!(survey, expected);
}

#[test]
fn replicas_of_plain_services_are_never_counted_as_full() {
    let load = Load { requests: 40, ..Load::default() };
    assert_eq!(Survey::new(None, &[load], Ahead::default()).full, 0);
}
