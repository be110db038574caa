//! The node's view of the items, decoded once per change.

use crate::config::Configuration;
use crate::dialect::{Dialect, Entry};
use crate::group::{self, Group};
use crate::items::{Item, Items};
use hickory_store::store::Revision;
use hickory_unit::clock::MAX_TIME;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How long a target is used after its entry lapsed in a store outage.
///
/// Entries expire while targets can't renew them; those of live targets return within two
/// seconds after the store is reachable again. Removing the targets immediately would leave
/// none just when the store returns.
pub const LAPSED_TARGET_TTL: Duration = Duration::from_millis(2_200);

/// How long what a copy of the store says of a target or zone is not believed if this node knows
/// better: operators and targets write again what is not in the copy.
pub const RESTORE_TTL: Duration = Duration::from_secs(10);

/// How long a removed target is remembered, longer than a copy of the store is old.
const DEPARTED_TTL: Duration = Duration::from_secs(120);

/// Identifies one incarnation of a target in the few bytes that a datagram has room for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Tag(pub u64);

impl Tag {
    /// Computes the tag of a target's incarnation.
    pub fn compute(id: &str, incarnation: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(id.as_bytes()).update(&incarnation.to_le_bytes());
        let hash = hasher.finalize();
        Self(u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8])))
    }
}

/// A target, decoded from its entry.
#[derive(Clone, Debug)]
pub struct Target {
    /// The id.
    pub id: id::Target,
    /// The short id that nodes use among each other.
    pub tag: Tag,
    /// The decoded entry.
    pub entry: Entry,
    /// When the target stops being cold.
    pub cold_until: Option<Instant>,
    /// Until when the target is used although its entry has lapsed.
    pub lapsed_until: Option<Instant>,
    /// Until when the target is not used, since the entry in a copy of the store is older than what
    /// this node knew: that the target drains, or is gone.
    pub withheld_until: Option<Instant>,
    /// The revision of the entry.
    pub revision: Revision,
}

/// A zone that is out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOut {
    revision: Revision,
    /// When it is back in service unless it is taken out again: it is not in a copy of the store.
    until: Option<Instant>,
}

/// A target whose entry was removed.
#[derive(Clone, Copy, Debug)]
struct Departed {
    incarnation: u64,
    revision: Revision,
    at: Instant,
}

/// A change of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Change {
    /// The entry is new or has new content.
    #[display("target known")]
    Updated,
    /// The entry was removed.
    #[display("target gone")]
    Removed,
}

/// Targets indexed for lookups by requests.
#[derive(Clone, Debug, Default)]
struct Index {
    by_tag: HashMap<Tag, Arc<Target>>,
    by_group: HashMap<id::Service, Vec<Vec<Arc<Target>>>>,
}

impl Index {
    fn build(targets: &HashMap<id::Service, Vec<Arc<Target>>>) -> Self {
        let all = targets.values().flatten();
        let by_group = targets.iter().map(|(service, targets)| {
            let groups = group::count_groups(targets.len());
            let mut by_group = vec![Vec::new(); usize::from(groups)];
            for target in targets {
                by_group[usize::from(group::find_group(target.tag, groups))].push(target.clone());
            }
            (service.clone(), by_group)
        });
        Self {
            by_tag: all.map(|target| (target.tag, target.clone())).collect(),
            by_group: by_group.collect(),
        }
    }
}

/// A node's decoded knowledge of the store's items.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The current configuration; `None` before the first one.
    pub configuration: Option<Arc<Configuration>>,
    /// The zones that are out of service.
    pub zones_out: HashMap<id::Zone, ZoneOut>,
    /// Targets whose entries were removed.
    departed: HashMap<id::Target, Departed>,
    /// Targets by service.
    pub targets: HashMap<id::Service, Vec<Arc<Target>>>,
    /// The changes of targets since the previous view.
    pub changes: Vec<(Change, Arc<Target>)>,
    /// The revisions of targets' entries that can't be used.
    unusable: HashMap<id::Target, Revision>,
    /// The number of items that the update before found unusable.
    pub(crate) malformed: usize,
    /// The targets by tag and by group, built on first use.
    index: OnceLock<Index>,
    /// When the current configuration was applied.
    pub configured_at: Option<Instant>,
    /// The revision of the current configuration.
    pub config_revision: Revision,
}

impl Target {
    /// Returns whether the target itself accepts new requests at `now`.
    pub fn is_accepting(&self, now: Instant) -> bool {
        !self.entry.is_draining
            && self.lapsed_until.is_none_or(|at| now < at)
            && self.withheld_until.is_none_or(|at| now >= at)
    }

    /// Returns whether the target is cold at `now`.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|at| now < at)
    }
}

impl View {
    /// Returns the view after a change of the items. `may_have_lapsed` states whether
    /// missing entries may have expired because the store was unreachable.
    pub fn updated<D: Dialect>(&self, items: &Items, now: Instant, may_have_lapsed: bool) -> Self {
        let mut next = Self {
            configuration: self.configuration.clone(),
            zones_out: self.decode_zones::<D>(items, now),
            departed: self.departed.clone(),
            targets: HashMap::new(),
            changes: Vec::new(),
            unusable: HashMap::new(),
            malformed: 0,
            index: OnceLock::new(),
            configured_at: self.configured_at,
            config_revision: self.config_revision,
        };
        next.decode_configuration::<D>(items, now);
        next.departed.retain(|_, gone| now.saturating_duration_since(gone.at) < DEPARTED_TTL);
        let previous: HashMap<&str, &Arc<Target>> =
            self.targets.values().flatten().map(|target| (target.id.as_str(), target)).collect();
        log_zone_changes(&self.zones_out, &next.zones_out);
        for (key, item) in items.with_prefix(D::TARGET_PREFIX) {
            let id = &key[D::TARGET_PREFIX.len()..];
            let previous_target = previous.get(id).copied();
            let target = match &item.value {
                Some(text) => {
                    let departed = next.departed.get(&id::Target::from(id));
                    let target = decode_target::<D>(id, text, item, previous_target, departed);
                    if let Err(finding) = &target {
                        let known = self.unusable.get(&id::Target::from(id));
                        next.note_unusable(id, item, finding, known);
                    }
                    target.ok()
                }
                None => {
                    next.note_departed(previous_target, item, may_have_lapsed);
                    keep_lapsed(previous_target, item, now, may_have_lapsed)
                }
            };
            next.changes.extend(detect_change(previous_target, target.as_ref()));
            if let Some(target) = target {
                next.targets.entry(target.entry.service.clone()).or_default().push(target);
            }
        }
        next
    }

    fn decode_configuration<D: Dialect>(&mut self, items: &Items, now: Instant) {
        let Some(item) = items.get(D::CONFIG_KEY) else { return };
        if item.revision <= self.config_revision {
            return;
        }
        let Some(text) = &item.value else { return };
        match D::parse_configuration(text) {
            Ok(configuration) if configuration.version < self.version() => {
                log::warn!(version = configuration.version, revision:% = item.revision;
                    "an older configuration is not taken over");
                self.config_revision = item.revision;
            }
            Ok(configuration) => {
                self.configured_at = Some(now);
                self.configuration = Some(Arc::new(configuration));
                self.config_revision = item.revision;
            }
            Err(finding) => {
                self.malformed += 1;
                log::error!(revision:% = item.revision;
                    "can't decode the configuration: {finding}");
            }
        }
    }

    /// Records that a target's entry can't be used, and logs it once.
    fn note_unusable(
        &mut self,
        id: &str,
        item: &Item,
        finding: &Finding,
        known: Option<&Revision>,
    ) {
        self.unusable.insert(id.into(), item.revision);
        if known != Some(&item.revision) {
            let Finding { field, message, .. } = finding;
            log::warn!(target_id = id, field = field.as_str(); "target entry ignored: {message}");
            self.malformed += 1;
        }
    }

    /// Returns the zones that are out of service. One that only a copy of the store doesn't name
    /// stays out for a while.
    fn decode_zones<D: Dialect>(&self, items: &Items, now: Instant) -> HashMap<id::Zone, ZoneOut> {
        let zones = items.with_prefix(D::ZONE_PREFIX).filter_map(|(key, item)| {
            let zone = id::Zone::from(&key[D::ZONE_PREFIX.len()..]);
            if item.value.is_some() {
                return Some((zone, ZoneOut { revision: item.revision, until: None }));
            }
            let known = self.zones_out.get(&zone)?;
            let until = item.learned_at + RESTORE_TTL;
            let is_kept = known.revision.era() < item.revision.era() && now < until;
            is_kept.then_some((zone, ZoneOut { revision: known.revision, until: Some(until) }))
        });
        zones.collect()
    }

    /// Remembers a target whose entry was removed while the store was reachable.
    fn note_departed(
        &mut self,
        previous: Option<&Arc<Target>>,
        item: &Item,
        may_have_lapsed: bool,
    ) {
        let Some(previous) = previous.filter(|previous| previous.lapsed_until.is_none()) else {
            return;
        };
        let is_known_gone = previous.entry.is_draining
            || !may_have_lapsed && previous.revision.era() == item.revision.era();
        if is_known_gone {
            let (incarnation, revision) = (previous.entry.incarnation, item.revision);
            let departed = Departed { incarnation, revision, at: item.learned_at };
            self.departed.insert(previous.id.clone(), departed);
        }
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &id::Service) -> &[Arc<Target>] {
        self.targets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets in one group of a service.
    pub fn targets_in_group(&self, service: &id::Service, group: u16) -> &[Arc<Target>] {
        let groups = self.index().by_group.get(service);
        groups.and_then(|groups| groups.get(usize::from(group))).map_or(&[], Vec::as_slice)
    }

    /// Returns the group of a service's target.
    pub fn group_of(&self, service: &id::Service, tag: Tag) -> Group {
        let groups = group::count_groups(self.targets_of(service).len());
        Group { service: service.clone(), index: group::find_group(tag, groups) }
    }

    /// Returns the target with a tag.
    pub fn find_target(&self, tag: Tag) -> Option<&Arc<Target>> {
        self.index().by_tag.get(&tag)
    }

    fn index(&self) -> &Index {
        self.index.get_or_init(|| Index::build(&self.targets))
    }

    /// Returns whether new requests may be sent to a target at `now`, considering its zone.
    pub fn can_send(&self, target: &Target, now: Instant) -> bool {
        let zone_out = self.zones_out.get(&target.entry.zone);
        let is_zone_out = zone_out.is_some_and(|out| out.until.is_none_or(|until| now < until));
        target.is_accepting(now) && !is_zone_out
    }

    /// Returns the version of the configuration, 0 before the first one.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }
}

fn log_zone_changes(before: &HashMap<id::Zone, ZoneOut>, after: &HashMap<id::Zone, ZoneOut>) {
    for zone in after.keys().filter(|zone| !before.contains_key(*zone)) {
        log::info!(zone = zone.as_str(); "zone out of service");
    }
    for zone in before.keys().filter(|zone| !after.contains_key(*zone)) {
        log::info!(zone = zone.as_str(); "zone back in service");
    }
}

/// Returns the change between two states of a target, if there is one.
fn detect_change(
    before: Option<&Arc<Target>>,
    after: Option<&Arc<Target>>,
) -> Option<(Change, Arc<Target>)> {
    let before = before.filter(|target| target.lapsed_until.is_none());
    match (before, after.filter(|target| target.lapsed_until.is_none())) {
        (Some(before), Some(after)) if before.entry == after.entry => None,
        (_, Some(after)) => Some((Change::Updated, after.clone())),
        (Some(before), None) => Some((Change::Removed, before.clone())),
        (None, None) => None,
    }
}

/// Returns the target for an entry. An entry that has not changed is not decoded again.
fn decode_target<D: Dialect>(
    id: &str,
    text: &str,
    item: &Item,
    previous: Option<&Arc<Target>>,
    departed: Option<&Departed>,
) -> Result<Arc<Target>, Finding> {
    let previous = previous.filter(|previous| previous.lapsed_until.is_none());
    if let Some(previous) = previous.filter(|previous| previous.revision == item.revision) {
        return Ok(previous.clone());
    }
    let entry = D::parse_target(id, text)?;
    let is_restored = |known: Revision| known.era() < item.revision.era();
    // The copy is older than the start of the incarnation that this node knows.
    let is_outdated = |previous: &&Arc<Target>| {
        is_restored(previous.revision) && previous.entry.incarnation > entry.incarnation
    };
    if let Some(previous) = previous.filter(is_outdated) {
        return Ok(Arc::new(Target { revision: item.revision, ..Target::clone(previous) }));
    }
    let is_withheld = match (previous, departed) {
        (Some(previous), _) => {
            is_restored(previous.revision)
                && previous.entry.incarnation == entry.incarnation
                && !previous.is_accepting(item.learned_at)
        }
        (None, Some(departed)) => {
            is_restored(departed.revision) && departed.incarnation >= entry.incarnation
        }
        (None, None) => false,
    };
    let withheld_until = is_withheld.then(|| item.learned_at + RESTORE_TTL);
    if let Some(previous) = previous.filter(|previous| previous.entry == entry) {
        let revision = item.revision;
        return Ok(Arc::new(Target { revision, withheld_until, ..Target::clone(previous) }));
    }
    let cold_until = Some(entry.cold_time_left.min(MAX_TIME)).filter(|time| !time.is_zero());
    let cold_until = cold_until.and_then(|time| item.learned_at.checked_add(time));
    let (tag, revision) = (Tag::compute(id, entry.incarnation), item.revision);
    let (id, lapsed_until) = (id.into(), None);
    Ok(Arc::new(Target { id, tag, entry, cold_until, lapsed_until, withheld_until, revision }))
}

/// Returns the target for a missing entry: `None`, unless the entry may have lapsed, or was written
/// after a copy was taken from which the store was restored.
fn keep_lapsed(
    previous: Option<&Arc<Target>>,
    item: &Item,
    now: Instant,
    may_have_lapsed: bool,
) -> Option<Arc<Target>> {
    let previous = previous?;
    let may_return = may_have_lapsed || previous.revision.era() < item.revision.era();
    let lapsed_until =
        previous.lapsed_until.or((may_return && !previous.entry.is_draining)
            .then(|| item.learned_at + LAPSED_TARGET_TTL));
    let lapsed_until = lapsed_until.filter(|at| now < *at)?;
    Some(Arc::new(Target { lapsed_until: Some(lapsed_until), ..Target::clone(previous) }))
}
