//! Commands that show the state of the fleet, and the planned stop of a node.

use crate::accept::read_configuration;
use crate::client::{Client, NoAnswer, read_document};
use crate::failure::{Failure, failure_of};
use crate::print::print_json;
use crate::table::Table;
use hickory_admin::view;
use hickory_release::configuration::{Configuration, Model, Service};
use oxhttp::model::Method;
use std::fmt::Display;

/// Shows the configuration in force.
pub(crate) fn show_configuration(client: &Client, json: bool) -> Result<(), Failure> {
    let configuration = read_configuration(client)?;
    if json {
        print_json(&configuration);
    } else {
        print!("{}", render_configuration(&configuration));
    }
    Ok(())
}

/// Lists the nodes.
pub(crate) fn show_nodes(client: &Client, json: bool) -> Result<(), Failure> {
    let nodes: Vec<view::Node> = client.get("/v1/admin/nodes")?;
    if json {
        print_json(&nodes);
        return Ok(());
    }
    let mut table =
        Table::new(&["NODE", "ZONE", "CALLERS", "VERSION", "OWNED", "REACHABLE", "DRAINING"]);
    for node in nodes {
        table.add_row([
            node.node.to_string(),
            node.zone.to_string(),
            node.callers.to_string(),
            node.version.to_string(),
            node.owned.to_string(),
            yes_no(node.reachable),
            yes_no(node.draining),
        ]);
    }
    print!("{table}");
    Ok(())
}

/// Lists the targets.
pub(crate) fn show_targets(client: &Client, json: bool) -> Result<(), Failure> {
    let targets: Vec<view::Target> = client.get("/v1/admin/targets")?;
    if json {
        print_json(&targets);
        return Ok(());
    }
    let mut table = Table::new(&[
        "TARGET",
        "ZONE",
        "KIND",
        "STANDING",
        "ACCEPTING",
        "RUNNING",
        "BOUND",
        "WAITING",
        "KV FREE",
        "READY",
    ]);
    for target in targets {
        table.add_row([
            target.target.to_string(),
            target.zone.to_string(),
            target.kind,
            target.standing,
            yes_no(target.accepting),
            target.running.to_string(),
            target.bound.to_string(),
            target.waiting.to_string(),
            target.kv_free.to_string(),
            target.ready.join(" "),
        ]);
    }
    print!("{table}");
    Ok(())
}

/// Lists the owners.
pub(crate) fn show_owners(client: &Client, json: bool) -> Result<(), Failure> {
    let owners: view::Owners = client.get("/v1/admin/owners")?;
    if json {
        print_json(&owners);
        return Ok(());
    }
    let mut table = Table::new(&["TARGET", "NODE", "EPOCH"]);
    for owner in owners.owners {
        table.add_row([owner.target.to_string(), owner.node.to_string(), owner.epoch.to_string()]);
    }
    print!("{table}");
    Ok(())
}

/// Begins a planned stop of a node. The command concerns the asked node itself, so
/// it must not fall back to another node.
pub(crate) fn drain(client: &Client, json: bool) -> Result<(), Failure> {
    let [node] = client.nodes() else {
        return Err(Failure::Usage("drain stops one node: give exactly one --node".to_owned()));
    };
    match client.call(*node, Method::POST, "/v1/admin/drain") {
        Ok(Ok(text)) => {
            let health: view::Health = read_document(&text)?;
            if json {
                print_json(&health);
            } else {
                println!("node {} is draining", health.node);
            }
            Ok(())
        }
        Ok(Err(problem)) => Err(failure_of(*problem, "drain")),
        Err(NoAnswer::NotSent(reason)) => Err(Failure::Unreachable(vec![reason])),
        // Draining is idempotent, so the operator may simply repeat the command.
        Err(NoAnswer::Lost(reason)) => Err(Failure::Unreachable(vec![reason])),
    }
}

fn render_configuration(configuration: &Configuration) -> String {
    let mut text = format!("version {}\n", configuration.version);
    let total: f64 = configuration.partners.values().map(|partner| partner.share).sum();
    let mut partners = Table::new(&["PARTNER", "SHARE", "OF FLEET"]);
    for (name, partner) in &configuration.partners {
        let percent = format!("{:.1}%", 100.0 * partner.share / total);
        partners.add_row([name.to_string(), partner.share.to_string(), percent]);
    }
    let mut accounts = Table::new(&["ACCOUNT", "PARTNER", "WEIGHT", "MODELS", "SERVICES"]);
    for (name, account) in &configuration.accounts {
        accounts.add_row([
            name.to_string(),
            account.partner.to_string(),
            account.weight.to_string(),
            join(&account.models),
            join(&account.services),
        ]);
    }
    let mut models = Table::new(&["MODEL", "CURRENT", "VERSIONS", "ADAPTERS"]);
    for (name, Model { current, versions, adapters }) in &configuration.models {
        let versions = join(versions.keys());
        models.add_row([name.to_string(), current.to_string(), versions, join(adapters.keys())]);
    }
    let mut zones = Table::new(&["ZONE", "SERVICE"]);
    for (name, zone) in &configuration.zones {
        zones.add_row([name.to_string(), if zone.out { "out" } else { "in" }.to_owned()]);
    }
    let mut services = Table::new(&["SERVICE", "AT MOST ONCE"]);
    for (name, Service { once }) in &configuration.services {
        services.add_row([name.to_string(), join(once)]);
    }
    let mut targets = Table::new(&["TARGET", "CHECKS FENCING"]);
    for (name, target) in &configuration.targets {
        targets.add_row([name.to_string(), yes_no(target.checks_fence)]);
    }
    for table in [partners, accounts, models, zones, services, targets] {
        if !table.is_empty() {
            text.push_str(&format!("\n{table}"));
        }
    }
    text
}

fn join<T: Display>(names: impl IntoIterator<Item = T>) -> String {
    names.into_iter().map(|name| name.to_string()).collect::<Vec<_>>().join(" ")
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
