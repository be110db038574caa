//! Tests of the assignment of weights to engines under changes of demand and fleet.

mod common;

use common::ms;
use hickory_policy::layout::{Change, Deployment, Engine, Layout, Residency};
use hickory_unit::{id, rate::TokensPerSecond};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

type Weights = &'static str;

/// A fleet that applies the changes. A load is ready after `finish_loads`.
struct Fixture {
    layout: Layout<Weights>,
    deployments: Vec<Deployment<Weights>>,
    engines: Vec<Engine<Weights>>,
    now: Instant,
    loads: usize,
}

fn deployment(weights: Weights) -> Deployment<Weights> {
    Deployment { weights, min_replicas: 2, replaces: None }
}

impl Fixture {
    fn open(count: usize, offers: &[Weights]) -> Self {
        let engine = |index: usize| Engine {
            target: id::Target::from(format!("engine-{index:02}").as_str()),
            zone: id::Zone::from(["a", "b", "c"][index % 3]),
            is_accepting: true,
            weight_slots: 2,
            loaded: BTreeMap::new(),
        };
        Self {
            layout: Layout::open(),
            deployments: offers.iter().map(|&w| deployment(w)).collect(),
            engines: (0..count).map(engine).collect(),
            now: Instant::now(),
            loads: 0,
        }
    }

    fn set_demand(&mut self, rates: &[(Weights, &str, f64)]) {
        self.now += Duration::from_secs(10);
        let rates = rates.iter().map(|&(w, p, r)| ((w, p.into()), TokensPerSecond(r)));
        self.layout.observe(self.now, &rates.collect());
        let shares = [("mawe".into(), 1.0), ("caucao".into(), 1.0)].into();
        self.layout.plan(&self.deployments, &shares, &self.engines);
    }

    fn apply_changes(&mut self, slots: u32) -> Vec<Change<Weights>> {
        let changes = self.layout.plan_changes(&self.deployments, &self.engines, slots);
        for change in &changes {
            let (target, load) = match change {
                Change::Load(target, weights) => (target, Some(*weights)),
                Change::Unload(target, _) => (target, None),
            };
            let engine = self.engines.iter_mut().find(|e| e.target == *target).expect("known");
            match (load, change) {
                (Some(weights), _) => {
                    self.loads += 1;
                    engine.loaded.insert(weights, Residency { is_ready: false, streams: 0 });
                }
                (None, Change::Unload(_, weights)) => {
                    let residency = engine.loaded.remove(weights).expect("weights are loaded");
                    assert_eq!(
                        residency.streams, 0,
                        "weights were unloaded under a running stream"
                    );
                }
                _ => {}
            }
            assert!(engine.loaded.len() <= 2, "more weights than slots");
        }
        changes
    }

    fn finish_loads(&mut self) {
        let residency = self.engines.iter_mut().flat_map(|e| e.loaded.values_mut());
        residency.for_each(|residency| residency.is_ready = true);
    }

    fn settle(&mut self) {
        while !self.apply_changes(4).is_empty() {
            self.finish_loads();
        }
    }

    fn ready(&self, weights: Weights) -> usize {
        let serves = |e: &&Engine<Weights>| {
            e.is_accepting && e.loaded.get(weights).is_some_and(|residency| residency.is_ready)
        };
        self.engines.iter().filter(serves).count()
    }
}

/// Replicas follow demand, each model keeps its minimum number of replicas, and replicas of one
/// model are in different zones.
#[test]
fn replicas_follow_demand() {
    let mut fixture = Fixture::open(12, &["big", "small"]);
    fixture.set_demand(&[("big", "mawe", 900.0), ("small", "caucao", 100.0)]);
    fixture.settle();
    assert_eq!(fixture.ready("big"), 12);
    assert!(fixture.ready("small") >= 3, "{}", fixture.ready("small"));
    let zones = fixture.engines.iter().filter(|e| e.loaded.contains_key("small"));
    let zones: std::collections::BTreeSet<_> = zones.map(|e| &e.zone).collect();
    assert_eq!(zones.len(), 3);
}

/// Guards against loads caused by a burst of ten seconds at four times the demand, or by a small
/// lasting shift.
#[test]
fn burst_causes_no_loads() {
    let mut fixture = Fixture::open(12, &["big", "small", "other"]);
    let rates_with_big =
        |big| [("big", "mawe", big), ("small", "caucao", 500.0), ("other", "caucao", 500.0)];
    (0..20).for_each(|_| fixture.set_demand(&rates_with_big(500.0)));
    fixture.settle();
    assert!((8..10).contains(&fixture.ready("big")));
    let loads = fixture.loads;
    fixture.set_demand(&rates_with_big(2_000.0));
    fixture.settle();
    (0..30).for_each(|_| fixture.set_demand(&rates_with_big(600.0)));
    fixture.settle();
    assert_eq!(fixture.loads, loads);
    (0..30).for_each(|_| fixture.set_demand(&rates_with_big(2_000.0)));
    fixture.settle();
    assert!(fixture.ready("big") >= 10, "lasting demand is followed");
}

/// A zone returns with all its engines empty, one model has lost all its replicas, and the store
/// can serve two loads at once. That model must be loaded first and into two zones, no more than
/// two loads may run, and no engine may stay empty.
#[test]
fn empty_zone_loads_the_scarcest_weights_first() {
    let mut fixture = Fixture::open(9, &["big", "small"]);
    fixture.set_demand(&[("big", "mawe", 800.0), ("small", "caucao", 200.0)]);
    fixture.settle();
    for engine in fixture.engines.iter_mut() {
        engine.loaded.remove("small");
        if engine.zone == "a".into() {
            engine.loaded.clear();
        }
    }
    let first = fixture.apply_changes(2);
    assert!(first.iter().all(|c| matches!(c, Change::Load(_, "small"))), "{first:?}");
    assert_eq!(first.len(), 2);
    let zones: std::collections::BTreeSet<_> = fixture
        .engines
        .iter()
        .filter(|e| e.loaded.contains_key("small"))
        .map(|e| &e.zone)
        .collect();
    assert_eq!(zones.len(), 2);
    fixture.finish_loads();
    loop {
        let loads = fixture.apply_changes(2);
        assert!(loads.len() <= 2);
        if loads.is_empty() {
            break;
        }
        fixture.finish_loads();
    }
    assert!(fixture.engines.iter().all(|e| !e.loaded.is_empty()));
    assert_eq!(fixture.ready("big"), 9);
}

/// Guards against a gap in service during the rollout of a version. The new version is loaded
/// beside the old one, which serves until the new one is ready on the wanted number of engines and
/// its last stream has ended.
#[test]
fn new_version_replaces_the_old_without_a_gap() {
    let mut fixture = Fixture::open(6, &["v1"]);
    fixture.set_demand(&[("v1", "mawe", 500.0)]);
    fixture.settle();
    assert_eq!(fixture.ready("v1"), 6);
    fixture.engines[0].loaded.get_mut("v1").expect("weights are loaded").streams = 1;
    fixture.deployments = vec![Deployment { weights: "v2", min_replicas: 2, replaces: Some("v1") }];
    fixture.set_demand(&[("v1", "mawe", 500.0)]);
    for _ in 0..10 {
        let before = fixture.ready("v2") as u32;
        let changes = fixture.apply_changes(2);
        let unloads = changes.iter().any(|c| matches!(c, Change::Unload(..)));
        assert!(!unloads || before >= fixture.layout.wanted_replicas(&"v2"));
        assert!(fixture.ready("v1") + fixture.ready("v2") > 0);
        fixture.finish_loads();
    }
    assert_eq!((fixture.ready("v1"), fixture.ready("v2")), (1, 6), "the stream still runs");
    fixture.engines[0].loaded.get_mut("v1").expect("weights are loaded").streams = 0;
    fixture.settle();
    assert_eq!(fixture.ready("v1"), 0);
}

/// A model is withdrawn while streams run on some engines. It must be unloaded from idle engines
/// immediately, from the others after their last stream, and never be loaded again.
#[test]
fn withdrawn_model_is_unloaded_after_its_last_stream() {
    let mut fixture = Fixture::open(6, &["kept", "gone"]);
    fixture.set_demand(&[("kept", "mawe", 500.0), ("gone", "mawe", 500.0)]);
    fixture.settle();
    let holder = fixture.engines.iter().position(|e| e.loaded.contains_key("gone")).expect("some");
    fixture.engines[holder].loaded.get_mut("gone").expect("weights are loaded").streams = 3;
    fixture.deployments.pop();
    fixture.set_demand(&[("gone", "mawe", 500.0)]);
    fixture.settle();
    assert_eq!(fixture.ready("gone"), 1);
    fixture.engines[holder].loaded.get_mut("gone").expect("weights are loaded").streams = 0;
    fixture.settle();
    assert_eq!(fixture.ready("gone"), 0);
    fixture.now += ms(1);
}

/// Guards against a partner that displaces the model of another one by requesting far more than its
/// share: demand above the share counts half.
#[test]
fn demand_above_the_share_counts_less() {
    let replicas = |rates: &[(Weights, &str, f64)]| {
        let mut fixture = Fixture::open(12, &["theirs", "ours"]);
        fixture.set_demand(rates);
        fixture.layout.wanted_replicas(&"ours")
    };
    let within = replicas(&[("theirs", "mawe", 850.0), ("ours", "mawe", 150.0)]);
    let over = replicas(&[("theirs", "mawe", 850.0), ("ours", "caucao", 150.0)]);
    assert!(over > within, "{over} against {within}");
}
