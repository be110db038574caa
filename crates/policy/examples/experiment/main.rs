//! Experiments with the decisions and the engine cost model, compared with two baselines in the
//! same run.
//!
//! `cargo run --release -p hickory-policy --example experiment -- short --seed 1`

mod figure;
mod fleet;
mod flight;
mod load;
mod placement;

use clap::{Parser, ValueEnum};
use fleet::{Event, Fleet, Run};
use flight::Record;
use hickory_policy::baseline::{Estimate, Fifo, LeastLoaded, Limit, Place, RoundRobin, Unbounded};
use hickory_policy::cost::Class;
use hickory_policy::limit::Limiter;
use hickory_policy::refuse::Reason;
use load::{Kind, Request, generate_arrivals};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// The experiment to run.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Name {
    /// Slowdown of short requests beside long ones.
    Short,
    /// Time to first token by prompt length.
    Length,
    /// Share error by partner under saturation.
    Share,
    /// Goodput at twice the load that the fleet can serve.
    Overload,
    /// A zone is taken out of service and returns cold.
    Zone,
}

/// Experiments with the decisions.
#[derive(Parser)]
struct Options {
    name: Name,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Long prompts per second, for `short`; 0.5 uses about a third of the fleet's prefill
    /// capacity.
    #[arg(long, default_value_t = 0.5)]
    long_rate: f64,
    /// Print JSON instead of a table.
    #[arg(long)]
    json: bool,
}

const ENGINES: usize = 9;
const SHARES: &[(&str, f64)] = &[("mawe", 1.0), ("caucao", 1.0)];
const MINUTE: Duration = Duration::from_secs(60);

type Figures = Map<String, Value>;

fn main() {
    let options = Options::parse();
    let seed = options.seed;
    let figures = match options.name {
        Name::Short => compare(&Short(seed, options.long_rate)),
        Name::Length => compare(&Length(seed)),
        Name::Share => compare(&Share(seed)),
        Name::Overload => compare(&Overload(seed)),
        Name::Zone => compare(&Zone(seed)),
    };
    if options.json {
        println!(
            "{:#}",
            json!({ "experiment": format!("{:?}", options.name), "seed": seed, "figures": figures })
        );
    } else {
        print_table(options.name, seed, &figures);
    }
}

/// An experiment that can be run with any policy.
trait Experiment {
    fn measure<L: Limit, P: Place + Default>(&self) -> Figures;
}

fn compare(experiment: &impl Experiment) -> Map<String, Value> {
    let mut all = Map::new();
    let mut add = |name: &str, figures: Figures| {
        for (figure, value) in figures {
            let row = all.entry(figure).or_insert_with(|| json!({}));
            row[name] = value;
        }
    };
    add("hickory", experiment.measure::<Limiter, Estimate>());
    add("fifo", experiment.measure::<Fifo, RoundRobin>());
    add("least", experiment.measure::<Unbounded, LeastLoaded>());
    all
}

fn print_table(name: Name, seed: u64, figures: &Map<String, Value>) {
    println!("{name:?}, seed {seed}");
    println!("{:<34}{:>12}{:>12}{:>12}", "", "hickory", "fifo", "least");
    for (figure, row) in figures {
        let cell = |policy: &str| row[policy].as_f64().map_or("-".into(), |v| format!("{v:.2}"));
        println!("{figure:<34}{:>12}{:>12}{:>12}", cell("hickory"), cell("fifo"), cell("least"));
    }
}

fn run<L: Limit, P: Place + Default>(load: &[Request], events: &[(u64, Event)], until: u64) -> Run {
    Fleet::<L, P>::new(ENGINES, SHARES).run(load, events, until)
}

/// Short interactive questions at this rate per engine.
fn questions(rate: f64, span: (f64, f64)) -> Kind {
    Kind {
        partner: "mawe",
        class: Class::Interactive,
        prompt: (500, 1_500),
        decode: 64,
        rate: rate * ENGINES as f64,
        time_left: MINUTE,
        span_seconds: span,
    }
}

/// Batch reports that may wait but must complete.
fn reports(rate: f64, prompt: (u64, u64), span: (f64, f64)) -> Kind {
    Kind {
        partner: "caucao",
        class: Class::Batch,
        prompt,
        decode: 500,
        rate,
        time_left: MINUTE * 30,
        span_seconds: span,
    }
}

fn is_short(record: &Record) -> bool {
    !record.request.cost.is_long()
}

fn is_long(record: &Record) -> bool {
    record.request.cost.is_long()
}

/// Compares short requests alone, long requests alone, and both together.
struct Short(u64, f64);

impl Experiment for Short {
    fn measure<L: Limit, P: Place + Default>(&self) -> Figures {
        let span = (10.0, 100.0);
        // The index of a kind in the list seeds its arrivals.
        let short = questions(8.0, (0.0, 100.0));
        let long = reports(self.1, (60_000, 300_000), (0.0, 100.0));
        let never = |kind| Kind { span_seconds: (0.0, 0.0), ..kind };
        let load = |short, long| generate_arrivals(&[short, long], self.0);
        let alone = run::<L, P>(&load(short, never(long)), &[], 160_000);
        let long_alone = run::<L, P>(&load(never(short), long), &[], 400_000);
        let both = run::<L, P>(&load(short, long), &[], 400_000);
        let mut figures = Figures::new();
        let mut put = |name: &str, value: f64| figures.insert(name.into(), json!(value));
        for (name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
            let before = alone.first_token(span, quantile, is_short);
            let beside = both.first_token(span, quantile, is_short);
            put(&format!("short {name} alone ms"), before);
            put(&format!("short {name} beside ms"), beside);
            put(&format!("short {name} slowdown"), beside / before);
        }
        put("long p95 alone ms", long_alone.first_token(span, 0.95, is_long));
        put("long p95 beside ms", both.first_token(span, 0.95, is_long));
        // Throughput is the same work divided by the time until the last long request ended.
        let last = |run: &Run| {
            let long = run.records.iter().filter(|r| is_long(r));
            let ends = long.filter_map(|r| Some(r.request.at + r.ended_after?));
            ends.max().unwrap_or_default().as_secs_f64()
        };
        put("long throughput beside/alone", last(&long_alone) / last(&both));
        let arrived = |run: &Run| {
            run.records.iter().filter(|r| is_long(r) && r.ended_after.is_some()).count()
        };
        let sent = both.records.iter().filter(|r| is_long(r)).count();
        put("long arrived, part", arrived(&both) as f64 / sent as f64);
        put("refused or broken", (both.records.len() - ended(&both)) as f64);
        figures
    }
}

fn ended(run: &Run) -> usize {
    run.records.iter().filter(|r| r.ended_after.is_some()).count()
}

/// A mix of prompt lengths in which about one request in 75 has 100,000 tokens or more.
struct Length(u64);

impl Experiment for Length {
    fn measure<L: Limit, P: Place + Default>(&self) -> Figures {
        let span = (0.0, 120.0);
        let kind = |prompt: u64, rate: f64| Kind {
            class: if prompt > 50_000 { Class::Batch } else { Class::Interactive },
            partner: if prompt > 5_000 { "caucao" } else { "mawe" },
            prompt: (prompt * 9 / 10, prompt * 11 / 10),
            time_left: MINUTE * 10,
            rate,
            ..questions(0.0, span)
        };
        let kinds = [kind(1_000, 40.0), kind(10_000, 4.0), kind(100_000, 0.5), kind(350_000, 0.1)];
        let run = run::<L, P>(&generate_arrivals(&kinds, self.0), &[], 300_000);
        let mut figures = Figures::new();
        for (name, least, most) in [
            ("1k", 0, 5_000),
            ("10k", 5_000, 50_000),
            ("100k", 50_000, 200_000),
            ("350k", 200_000, 500_000),
        ] {
            let of_length = |r: &Record| (least..most).contains(&r.request.cost.prefill.0);
            for (quantile_name, quantile) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
                let value = run.first_token((10.0, 120.0), quantile, of_length);
                figures.insert(format!("{name} {quantile_name} ms"), json!(value));
            }
        }
        figures.insert("refused or broken".into(), json!(run.records.len() - ended(&run)));
        figures
    }
}

/// Both partners request more than the fleet can serve; the shares change from 3:1 to 1:3 half-way.
struct Share(u64);

impl Experiment for Share {
    fn measure<L: Limit, P: Place + Default>(&self) -> Figures {
        let span = (0.0, 80.0);
        let mawe = Kind { rate: 450.0, time_left: MINUTE / 2, ..questions(0.0, span) };
        let caucao = Kind { partner: "caucao", prompt: (1_000, 5_000), rate: 300.0, ..mawe };
        let load = generate_arrivals(&[mawe, caucao], self.0);
        let fleet = Fleet::<L, P>::new(ENGINES, &[("mawe", 3.0), ("caucao", 1.0)]);
        let change = Event::Shares(&[("mawe", 1.0), ("caucao", 3.0)]);
        let run = fleet.run(&load, &[(40_000, change)], 80_000);
        let error = |from: f64, share: f64| {
            let window = (from, from + 10.0);
            let of_mawe = run.work(window, |r| r.request.partner == "mawe");
            (of_mawe / run.work(window, |_| true) - share).abs() * 100.0
        };
        // A window in which no request ended has no error; the figure is then missing.
        let most = |windows: &[f64], share| {
            let errors = windows.iter().map(|&from| error(from, share));
            errors.reduce(|a, b| if b > a || b.is_nan() { b } else { a }).unwrap_or(f64::NAN)
        };
        let mut figures = Figures::new();
        let mut put = |name: &str, value: f64| figures.insert(name.into(), json!(value));
        put("error over 10 s, worst, %", most(&[10.0, 20.0, 30.0], 0.75));
        put("after the change, first 10 s, %", error(40.0, 0.25));
        put("after the change, worst later, %", most(&[50.0, 60.0, 70.0], 0.25));
        put("work per s, thousands", run.work((10.0, 80.0), |_| true) / 70_000.0);
        figures
    }
}

/// Twice the load that the fleet can serve, all with ten seconds until the deadline.
struct Overload(u64);

impl Experiment for Overload {
    fn measure<L: Limit, P: Place + Default>(&self) -> Figures {
        let (span, window) = ((0.0, 60.0), (10.0, 60.0));
        let kind = |rate| Kind { rate, time_left: Duration::from_secs(10), ..questions(0.0, span) };
        // Capacity: the engines' throughput when all requests wait inside them.
        let patient = Kind { time_left: MINUTE * 10, ..kind(700.0) };
        let full = run::<Fifo, RoundRobin>(&generate_arrivals(&[patient], self.0), &[], 60_000);
        let capacity = full.work(window, |_| true);
        let work = 1_000.0 + 64.0 * 8.0;
        let rate = 2.0 * capacity / 50.0 / work;
        let run = run::<L, P>(&generate_arrivals(&[kind(rate)], self.0), &[], 75_000);
        let mut figures = Figures::new();
        let mut put = |name: &str, value: f64| figures.insert(name.into(), json!(value));
        put("capacity, requests/s", capacity / 50.0 / work);
        put("goodput / capacity", run.work(window, |_| true) / capacity);
        let refused: Vec<_> = run.records.iter().filter_map(|r| r.refusal).collect();
        let early = refused.iter().filter(|(_, after)| *after < Duration::from_millis(100)).count();
        put("refused", refused.len() as f64);
        put("refused within 100 ms, part", early as f64 / refused.len().max(1) as f64);
        put("begun and broken off", run.broken() as f64);
        put("first token p95 ms", run.first_token(window, 0.95, |_| true));
        figures
    }
}

/// One of three zones is taken out at 30 s and returns cold at 60 s, at a load that two zones can
/// serve.
struct Zone(u64);

impl Experiment for Zone {
    fn measure<L: Limit, P: Place + Default>(&self) -> Figures {
        let span = (0.0, 110.0);
        let kinds = [questions(10.0, span), reports(0.2, (60_000, 150_000), span)];
        let events = [(30_000, Event::ZoneOut(0)), (60_000, Event::ZoneBack(0))];
        let run = run::<L, P>(&generate_arrivals(&kinds, self.0), &events, 200_000);
        let p95 = |span| run.first_token(span, 0.95, is_short);
        let before = p95((10.0, 30.0));
        let mut figures = Figures::new();
        let mut put = |name: &str, value: f64| figures.insert(name.into(), json!(value));
        put("p95 before ms", before);
        put("p95 leaving (30-40 s) / before", p95((30.0, 40.0)) / before);
        put("p95 out (40-60 s) / before", p95((40.0, 60.0)) / before);
        put("p95 returning (60-75 s) / before", p95((60.0, 75.0)) / before);
        put("p95 back (75-110 s) / before", p95((75.0, 110.0)) / before);
        put("not served", (run.records.len() - ended(&run)) as f64);
        put("refused, no target", run.count(Reason::NoTarget) as f64);
        put("engines crashed", f64::from(run.crashes));
        put("last send to the zone, s after", run.late_send.map_or(0.0, |d| d.as_secs_f64()));
        figures
    }
}
