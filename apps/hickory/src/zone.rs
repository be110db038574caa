//! Taking zones out of service and bringing them back.

use crate::accept::{await_version, new_note, read_configuration, send_note, version_to_await};
use crate::client::Client;
use crate::failure::Failure;
use crate::print;
use hickory_release::configuration::{Configuration, Zone};
use hickory_unit::finding::Finding;
use hickory_unit::id;

/// Maximum number of attempts to send the note. Several operators may race, and
/// taking a zone out of service must succeed despite a series of other notes.
const MAX_ATTEMPTS: usize = 8;

/// Takes a zone out of service or brings it back.
///
/// After a conflict, the note is sent again only if the zone is still in the state
/// that it was in when the command started. If another operator has changed the zone
/// meanwhile, the operators have to decide.
pub(crate) fn run(client: &Client, name: &str, out: bool, json: bool) -> Result<(), Failure> {
    let zone = id::Zone::from(name);
    let mut present = read_configuration(client)?;
    let initial = look_up_zone(&present, &zone)?;
    if initial.out == out {
        print::print_zone(name, out, present.version, &[], json);
        return Ok(());
    }
    let mut conflicts = Vec::new();
    let mut note = new_note(present.version);
    note.changed.zones.insert(zone.clone(), Zone { out });
    while conflicts.len() < MAX_ATTEMPTS {
        note.against = present.version;
        match send_note(client, &note) {
            Ok(accepted) => {
                print::print_zone(name, out, accepted.version, &conflicts, json);
                return Ok(());
            }
            Err(Failure::Conflict { present: Some(version), .. }) => {
                let version = version_to_await(version, present.version);
                conflicts.push(version);
                present = await_version(client, version)?;
                check_unchanged(&present, &zone, initial)?;
            }
            Err(failure) => return Err(failure),
        }
    }
    let detail = format!("gave up after {MAX_ATTEMPTS} conflicts; zone {zone} is unchanged");
    Err(Failure::Conflict { present: Some(present.version), detail })
}

fn look_up_zone(configuration: &Configuration, zone: &id::Zone) -> Result<Zone, Failure> {
    configuration.zones.get(zone).copied().ok_or_else(|| {
        let known: Vec<&str> = configuration.zones.keys().map(id::Zone::as_str).collect();
        let message = format!("no such zone; there are: {}", known.join(", "));
        let findings = vec![Finding::at(format!("zones.{zone}"), message)];
        Failure::Invalid { file: "configuration".to_owned(), findings }
    })
}

fn check_unchanged(present: &Configuration, zone: &id::Zone, initial: Zone) -> Result<(), Failure> {
    if present.zones.get(zone) == Some(&initial) {
        return Ok(());
    }
    let state = match present.zones.get(zone) {
        None => "withdrawn",
        Some(Zone { out: true }) => "out of service",
        Some(Zone { out: false }) => "in service",
    };
    let version = present.version;
    let detail = format!(
        "another note has changed zone {zone}, which is {state} in version {version}; \
         nothing was done"
    );
    Err(Failure::Conflict { present: Some(version), detail })
}
