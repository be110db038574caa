//! Conversions between the plain message types and the generated ones.

use crate::message::{
    Cost, Document, Ending, Gossip, Outcome, Permit, PermitRequest, Refusal, Suspect, TargetState,
    Weights,
};
use crate::peer_capnp as schema;
use capnp::Error;
use hickory_unit::{id, size};
use std::time::Duration;

type Result<T> = std::result::Result<T, Error>;

pub(crate) fn read_text(text: capnp::Result<capnp::text::Reader<'_>>) -> Result<&str> {
    text?.to_str().map_err(|e| Error::failed(e.to_string()))
}

pub(crate) fn read_stream(text: capnp::Result<capnp::text::Reader<'_>>) -> Result<id::Stream> {
    read_text(text)?.parse().map_err(|_| malformed("stream"))
}

fn malformed(field: &str) -> Error {
    Error::failed(format!("malformed {field}"))
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn write_weights(weights: &Weights, mut to: schema::weights::Builder<'_>) {
    to.set_model(weights.model.as_str());
    to.set_version(weights.version.as_str());
    to.set_adapter(weights.adapter.as_ref().map_or("", id::Adapter::as_str));
}

pub(crate) fn read_weights(from: schema::weights::Reader<'_>) -> Result<Weights> {
    let adapter = read_text(from.get_adapter())?;
    Ok(Weights {
        model: read_text(from.get_model())?.into(),
        version: read_text(from.get_version())?.into(),
        adapter: (!adapter.is_empty()).then(|| adapter.into()),
    })
}

pub(crate) fn write_permit_request(
    permit_request: &PermitRequest,
    mut to: schema::permit_ask::Builder<'_>,
) {
    to.set_stream(permit_request.stream.to_string());
    to.set_target(permit_request.target.as_str());
    to.set_partner(permit_request.partner.as_str());
    to.set_account(permit_request.account.as_str());
    to.set_batch(permit_request.is_batch);
    let mut cost = to.reborrow().init_cost();
    cost.set_prefill(permit_request.cost.prefill.0);
    cost.set_decode(permit_request.cost.decode.0);
    cost.set_kv(permit_request.cost.kv.0);
    to.set_service(permit_request.weights.is_none());
    if let Some(weights) = &permit_request.weights {
        write_weights(weights, to.reborrow().init_weights());
    }
    to.set_time_left_ms(to_millis(permit_request.time_left));
    to.set_alone(permit_request.runs_alone);
    to.set_fingerprint(permit_request.fingerprint);
    to.set_prefix(permit_request.prefix);
    to.set_urgent(permit_request.must_not_queue);
}

pub(crate) fn read_permit_request(from: schema::permit_ask::Reader<'_>) -> Result<PermitRequest> {
    let cost = from.get_cost()?;
    let weights = match from.get_service() {
        true => None,
        false => Some(read_weights(from.get_weights()?)?),
    };
    Ok(PermitRequest {
        stream: read_stream(from.get_stream())?,
        target: read_text(from.get_target())?.into(),
        partner: read_text(from.get_partner())?.into(),
        account: read_text(from.get_account())?.into(),
        is_batch: from.get_batch(),
        cost: Cost {
            prefill: size::Tokens(cost.get_prefill()),
            decode: size::Tokens(cost.get_decode()),
            kv: size::Tokens(cost.get_kv()),
        },
        weights,
        time_left: Duration::from_millis(from.get_time_left_ms()),
        runs_alone: from.get_alone(),
        fingerprint: from.get_fingerprint(),
        prefix: from.get_prefix(),
        must_not_queue: from.get_urgent(),
    })
}

pub(crate) fn write_answer(
    answer: &std::result::Result<Permit, Refusal>,
    to: schema::permit_answer::Builder<'_>,
) {
    match answer {
        Ok(permit) => {
            let mut to = to.init_granted();
            to.set_id(permit.id);
            to.set_epoch(permit.epoch.0);
            to.set_life_ms(to_millis(permit.lifetime));
            to.set_priority(permit.priority);
        }
        Err(refusal) => {
            let mut to = to.init_refused();
            to.set_reason(refusal.reason.as_str());
            to.set_retry_after_ms(to_millis(refusal.retry_after));
            to.set_not_owner(refusal.is_not_owner);
        }
    }
}

pub(crate) fn read_answer(
    from: schema::permit_answer::Reader<'_>,
) -> Result<std::result::Result<Permit, Refusal>> {
    Ok(match from.which()? {
        schema::permit_answer::Granted(permit) => {
            let permit = permit?;
            Ok(Permit {
                id: permit.get_id(),
                epoch: id::Epoch(permit.get_epoch()),
                lifetime: Duration::from_millis(permit.get_life_ms()),
                priority: permit.get_priority(),
            })
        }
        schema::permit_answer::Refused(refusal) => {
            let refusal = refusal?;
            Err(Refusal {
                reason: read_text(refusal.get_reason())?.into(),
                retry_after: Duration::from_millis(refusal.get_retry_after_ms()),
                is_not_owner: refusal.get_not_owner(),
            })
        }
    })
}

pub(crate) fn write_outcome(outcome: &Outcome, mut to: schema::outcome::Builder<'_>) {
    use schema::outcome::Kind;
    to.set_target(outcome.target.as_str());
    to.set_permit(outcome.permit);
    to.set_epoch(outcome.epoch.0);
    to.set_kind(match outcome.ending {
        Ending::Finished => Kind::Finished,
        Ending::Cancelled => Kind::Cancelled,
        Ending::TargetDied => Kind::TargetDied,
        Ending::NotSent => Kind::NotSent,
        Ending::Lost => Kind::Lost,
        Ending::CallerDisconnected => Kind::Left,
    });
    to.set_first_token_ms(outcome.time_to_first_token.map_or(0, |time| to_millis(time).max(1)));
    if let Some(stream) = &outcome.stream {
        to.set_stream(stream.to_string());
    }
}

pub(crate) fn read_outcome(from: schema::outcome::Reader<'_>) -> Result<Outcome> {
    use schema::outcome::Kind;
    let first_token_ms = from.get_first_token_ms();
    let stream = read_text(from.get_stream())?;
    Ok(Outcome {
        target: read_text(from.get_target())?.into(),
        permit: from.get_permit(),
        epoch: id::Epoch(from.get_epoch()),
        ending: match from.get_kind()? {
            Kind::Finished => Ending::Finished,
            Kind::Cancelled => Ending::Cancelled,
            Kind::TargetDied => Ending::TargetDied,
            Kind::NotSent => Ending::NotSent,
            Kind::Lost => Ending::Lost,
            Kind::Left => Ending::CallerDisconnected,
        },
        time_to_first_token: (first_token_ms > 0).then(|| Duration::from_millis(first_token_ms)),
        stream: match stream.is_empty() {
            true => None,
            false => Some(stream.parse().map_err(|_| malformed("stream"))?),
        },
    })
}

fn write_state(state: &TargetState, mut to: schema::target_state::Builder<'_>) {
    to.set_target(state.target.as_str());
    to.set_epoch(state.epoch.0);
    to.set_queued_prefill(state.queued_prefill.0);
    to.set_queued_long(state.queued_long.0);
    to.set_kv_free(state.kv_free.0);
    to.set_kv_capacity(state.kv_capacity.0);
    to.set_prefill_rate(state.prefill_rate);
    to.set_bound(state.stream_limit);
    to.set_running(state.running);
    to.set_waiting(state.waiting);
    to.set_incarnation(state.incarnation.0);
    to.set_accepting(state.is_accepting);
    let mut ready = to.reborrow().init_ready(state.ready.len() as u32);
    for (i, weights) in state.ready.iter().enumerate() {
        write_weights(weights, ready.reborrow().get(i as u32));
    }
    let mut prefixes = to.init_prefixes(state.prefixes.len() as u32);
    for (i, prefix) in state.prefixes.iter().enumerate() {
        prefixes.set(i as u32, *prefix);
    }
}

fn read_state(from: schema::target_state::Reader<'_>) -> Result<TargetState> {
    Ok(TargetState {
        target: read_text(from.get_target())?.into(),
        epoch: id::Epoch(from.get_epoch()),
        queued_prefill: size::Tokens(from.get_queued_prefill()),
        queued_long: size::Tokens(from.get_queued_long()),
        kv_free: size::Tokens(from.get_kv_free()),
        kv_capacity: size::Tokens(from.get_kv_capacity()),
        prefill_rate: from.get_prefill_rate(),
        stream_limit: from.get_bound(),
        running: from.get_running(),
        waiting: from.get_waiting(),
        incarnation: id::Incarnation(from.get_incarnation()),
        ready: from.get_ready()?.iter().map(read_weights).collect::<Result<_>>()?,
        is_accepting: from.get_accepting(),
        prefixes: from.get_prefixes()?.iter().collect(),
    })
}

pub(crate) fn write_gossip(gossip: &Gossip, mut to: schema::gossip::Builder<'_>) {
    to.set_node(gossip.node.as_str());
    to.set_incarnation(gossip.incarnation.0);
    to.set_release(gossip.configuration_version.0);
    to.set_owners(gossip.owners_revision);
    to.set_draining(gossip.is_draining);
    to.set_connections(gossip.active_requests);
    to.set_version(gossip.version);
    to.set_seen(gossip.acknowledged_version);
    let mut targets = to.reborrow().init_targets(gossip.targets.len() as u32);
    for (i, state) in gossip.targets.iter().enumerate() {
        write_state(state, targets.reborrow().get(i as u32));
    }
    let mut suspects = to.init_suspects(gossip.suspects.len() as u32);
    for (i, suspect) in gossip.suspects.iter().enumerate() {
        let mut to = suspects.reborrow().get(i as u32);
        to.set_fingerprint(suspect.fingerprint);
        to.set_deaths(suspect.deaths);
        to.set_age_ms(to_millis(suspect.age));
    }
}

pub(crate) fn read_gossip(from: schema::gossip::Reader<'_>) -> Result<Gossip> {
    let suspects = from.get_suspects()?.iter().map(|suspect| Suspect {
        fingerprint: suspect.get_fingerprint(),
        deaths: suspect.get_deaths(),
        age: Duration::from_millis(suspect.get_age_ms()),
    });
    Ok(Gossip {
        node: read_text(from.get_node())?.into(),
        incarnation: id::Incarnation(from.get_incarnation()),
        configuration_version: id::Release(from.get_release()),
        owners_revision: from.get_owners(),
        is_draining: from.get_draining(),
        targets: from.get_targets()?.iter().map(read_state).collect::<Result<_>>()?,
        suspects: suspects.collect(),
        active_requests: from.get_connections(),
        version: from.get_version(),
        acknowledged_version: from.get_seen(),
    })
}

pub(crate) fn write_document(document: Option<&Document>, mut to: schema::document::Builder<'_>) {
    if let Some(document) = document {
        to.set_version(document.version);
        to.set_text(document.text.as_str());
    }
}

pub(crate) fn read_document(from: schema::document::Reader<'_>) -> Result<Option<Document>> {
    let text = read_text(from.get_text())?;
    Ok((!text.is_empty()).then(|| Document { version: from.get_version(), text: text.to_owned() }))
}
