//! Measures the overhead of the serving layer: the time that it adds to the first
//! token, and the token throughput of one core.

use crate::caller::{Caller, Completion};
use crate::experiment::send;
use crate::fleet::{self, Fleet, Policy};
use crate::mix::{self, Class, Length, Options, Part};
use crate::outcome::{End, Sample};
use crate::sheet::{Goal, Sheet};
use crate::spread::Spread;
use eyre::{Context, ContextCompat, Result, ensure};
use futures::StreamExt;
use hickory_model::engine::Options as Engine;
use hickory_target::engine::{Engines, Event, Generate, Priority, Weights};
use hickory_target::http::Targets;
use hickory_unit::clock::{Clock, System};
use hickory_unit::{id, size};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Number of request pairs, one directly to an engine and one through a node.
const PAIRS: u64 = 300;

/// Number of tokens in each answer of the pairs.
const PAIR_TOKENS: u64 = 4;

/// Duration of the workload that measures the throughput of a core.
const RELAY_TIME: Duration = Duration::from_secs(10);

/// Number of tokens in each relayed answer.
const RELAY_TOKENS: u64 = 400;

/// Runs both measurements.
pub(crate) async fn measure(sheet: &mut Sheet) -> Result<()> {
    measure_added_latency(sheet).await?;
    measure_relay_rate(sheet).await
}

/// Measures the latency that the layer adds to the first token. Direct and relayed
/// requests alternate, so that other load on the machine affects both equally.
async fn measure_added_latency(sheet: &mut Sheet) -> Result<()> {
    let options = fleet::Options { nodes: 3, engines: 3, ..fleet::Options::default() };
    let fleet = Fleet::start(options).await?;
    let caller = Caller::open(fleet.entry_addresses(), 0);
    let targets = Targets::open(Duration::from_secs(5));
    let (mut direct, mut via_node) = (Spread::default(), Spread::default());
    for pair in 0..PAIRS {
        let prompt = mix::make_prompt(2 * pair, Length::Short.tokens());
        direct.record(time_direct(&fleet, &targets, pair, prompt).await?);
        let prompt = mix::make_prompt(2 * pair + 1, Length::Short.tokens());
        let token = &fleet.credentials[0].token;
        let completion =
            Completion::for_prompt(token, fleet::MODEL, &prompt, PAIR_TOKENS, Class::Interactive);
        let outcome = caller.complete(&completion, Instant::now()).await;
        ensure!(
            outcome.end == End::Whole,
            "through a node: expected a complete answer, got {:?}",
            outcome.end
        );
        via_node
            .record(outcome.first_token.context("through a node: the answer has no first token")?);
    }
    for (quantile, fraction) in [("p50", 0.50), ("p95", 0.95), ("p99", 0.99)] {
        let (direct, via_node) = (direct.quantile_ms(fraction), via_node.quantile_ms(fraction));
        sheet.add(format!("first token direct {quantile}"), direct, "ms");
        sheet.add(format!("first token through a node {quantile}"), via_node, "ms");
        let added = via_node - direct;
        match quantile {
            "p95" => sheet.judge("first token added p95", added, "ms", Goal::AtMost(3.0)),
            _ => sheet.add(format!("first token added {quantile}"), added, "ms"),
        }
    }
    sheet.note(format!("{PAIRS} alternating pairs of 1k prompts, one at a time, 3 nodes"));
    Ok(())
}

async fn time_direct(
    fleet: &Fleet,
    targets: &Targets,
    pair: u64,
    prompt: String,
) -> Result<Duration> {
    let engine = &fleet.standins.engines[pair as usize % fleet.standins.engines.len()];
    let deadline_ms = System.wall_ms() + 10_000;
    let request = id::Request(Uuid::now_v7());
    let generate = Generate {
        stream: id::Stream { request, attempt: 0, sender: "direct".into(), deadline_ms },
        weights: Weights { model: fleet::MODEL.into(), version: "1".into(), adapter: None },
        prompt,
        max_tokens: size::Tokens(PAIR_TOKENS),
        priority: Priority(200),
        import: None,
        prefill_only: None,
        from: 0,
    };
    let start = Instant::now();
    let mut tokens = targets.generate(engine.address(), &generate).await?;
    let first =
        tokens.next().await.context("direct: the stream ended before the first token")??;
    let time = start.elapsed();
    ensure!(
        matches!(first, Event::Token { .. }),
        "direct: expected a token as the first event, got {first:?}"
    );
    while let Some(event) = tokens.next().await {
        event.context("direct: reading the stream")?;
    }
    Ok(time)
}

/// Measures the relay throughput of one node, and the tokens relayed per second of
/// its processor time.
async fn measure_relay_rate(sheet: &mut Sheet) -> Result<()> {
    let engine = Engine { speed: 4.0, ..Engine::default() };
    let options = fleet::Options { nodes: 1, engines: 8, engine, ..fleet::Options::default() };
    let fleet = Fleet::start(options).await?;
    let mut part = Part::new(Length::Short, Class::Interactive, 120.0);
    part.max_tokens = RELAY_TOKENS;
    let options =
        Options { parts: vec![part], resends: 0, ..Options::empty(sheet.seed, RELAY_TIME) };
    let (start, before) = (Instant::now(), fleet.nodes[0].process.usage()?);
    let samples = send(&fleet, Policy::Fair, &options).await;
    let cpu = fleet.nodes[0].process.usage()?.cpu_seconds - before.cpu_seconds;
    let seconds = start.elapsed().as_secs_f64();
    let tokens: u64 = samples.iter().map(|sample| sample.outcome.tokens).sum();
    sheet.add("tokens relayed", tokens as f64 / seconds, "tokens/s");
    sheet.add("processor time of the node", cpu / seconds, "cores");
    sheet.add("tokens relayed for one core", tokens as f64 / cpu, "tokens/s");
    let whole = samples.iter().filter(|s: &&Sample| s.outcome.end == End::Whole).count();
    sheet.add("streams whole", whole as f64, "");
    sheet.add("streams sent", samples.len() as f64, "");
    sheet.note(
        "tokens for one core: tokens per second of processor time; the node was not saturated",
    );
    Ok(())
}
