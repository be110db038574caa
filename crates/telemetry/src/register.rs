//! Registration of metrics: one function for each kind of series.

use crate::label::{Call, Outcome};
use crate::metrics::Error;
use hickory_policy::refuse::{Ran, Reason};
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

pub(crate) fn add_counter(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntCounter, Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

pub(crate) fn add_gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

pub(crate) fn add_histogram(
    registry: &Registry,
    (name, help): (&str, &str),
    bounds: &[f64],
) -> Result<Histogram, Error> {
    let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    let histogram = Histogram::with_opts(opts)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

/// Registers a counter for each value of a label, in the order of the values.
pub(crate) fn add_counters<L: std::fmt::Display>(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    values: &[L],
) -> Result<Vec<IntCounter>, Error> {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(values.iter().map(|v| counters.with_label_values(&[&v.to_string()])).collect())
}

pub(crate) fn add_gauges<L: std::fmt::Display>(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    values: &[L],
) -> Result<Vec<IntGauge>, Error> {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(values.iter().map(|v| gauges.with_label_values(&[&v.to_string()])).collect())
}

pub(crate) fn add_histograms<L: std::fmt::Display>(
    registry: &Registry,
    (name, help): (&str, &str),
    label: &str,
    values: &[L],
    bounds: &[f64],
) -> Result<Vec<Histogram>, Error> {
    let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    let histograms = HistogramVec::new(opts, &[label])?;
    registry.register(Box::new(histograms.clone()))?;
    Ok(values.iter().map(|v| histograms.with_label_values(&[&v.to_string()])).collect())
}

pub(crate) fn add_refusals(registry: &Registry) -> Result<Vec<[IntCounter; 2]>, Error> {
    let opts = Opts::new("refusals_total", "Requests refused, by reason and whether they ran");
    let refusals = IntCounterVec::new(opts, &["reason", "ran"])?;
    registry.register(Box::new(refusals.clone()))?;
    let counter_of = |reason: &Reason, ran: Ran| {
        refusals.with_label_values(&[reason.to_string(), ran.to_string()])
    };
    Ok(Reason::ALL.iter().map(|r| [counter_of(r, Ran::No), counter_of(r, Ran::Unknown)]).collect())
}

pub(crate) fn add_platform_calls(registry: &Registry) -> Result<Vec<Vec<IntCounter>>, Error> {
    let opts = Opts::new("platform_calls_total", "Calls to the platform, by kind and result");
    let calls = IntCounterVec::new(opts, &["call", "result"])?;
    registry.register(Box::new(calls.clone()))?;
    let counter_of = |call: &Call, result: &Outcome| {
        calls.with_label_values(&[call.to_string(), result.to_string()])
    };
    let results = |call: &Call| Outcome::ALL.iter().map(|r| counter_of(call, r)).collect();
    Ok(Call::ALL.iter().map(results).collect())
}
