//! What follows from a change of the store's items: a new view, and a new era of the store.

use crate::core::{Core, lock};
use crate::dialect::Dialect;
use crate::items::Items;
use crate::view::View;
use hickory_store::store::{Revision, Store};
use hickory_telemetry::label::Sender;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Changes the items and, if `change` returns true, decodes them into a new view. With
    /// `may_have_lapsed`, targets whose entries disappeared stay in use for a while.
    pub(crate) fn update_items(
        &self,
        may_have_lapsed: bool,
        change: impl FnOnce(&mut Items) -> bool,
    ) {
        let mut items = self.items();
        if !change(&mut items) {
            return;
        }
        let now = self.now();
        for prefix in [D::OPERATOR_PREFIX, D::TARGET_PREFIX] {
            items.expire_tombstones(now, prefix);
        }
        let before = self.view();
        let next = before.updated::<D>(&items, now, may_have_lapsed);
        let waited =
            lock(&self.lag_tracker).note_known(now, items.newest_revision(D::OPERATOR_PREFIX));
        if next.configured_at != before.configured_at {
            self.note_configuration(&next, waited);
        }
        self.metrics.count_malformed(Sender::Store, next.malformed);
        self.carry_over_leaving(&before, &next);
        let next = Arc::new(next);
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = next.clone();
        let revisions =
            (items.newest_revision(D::OPERATOR_PREFIX), items.newest_revision(D::TARGET_PREFIX));
        let known = std::mem::replace(&mut *lock(&self.revisions), revisions);
        self.note_era(known, revisions);
        self.revision_notify.notify_one();
        drop(items);
        if !next.changes.is_empty() {
            self.log_target_changes(&next);
        }
    }

    /// Records a new era of the store. Leases may be lost, or belong to other nodes.
    fn note_era(&self, before: (Revision, Revision), after: (Revision, Revision)) {
        let newest_era = |(operator, targets): (Revision, Revision)| operator.max(targets).era();
        let (known, era) = (newest_era(before), newest_era(after));
        self.metrics.set_store_era(era);
        if era == known || before == Default::default() {
            return;
        }
        log::warn!(
            era:%,
            operator_revision:% = after.0,
            targets_revision:% = after.1;
            "the store was restored from a copy"
        );
        if let Some(member) = self.member.get() {
            member.register_again();
        }
    }

    fn note_configuration(&self, view: &View, waited: Option<Duration>) {
        self.metrics.set_configuration_version(id::Release(view.version()));
        self.metrics.observe_configuration_delay(waited.unwrap_or_default());
        log::info!(
            version = view.version(),
            revision:% = view.config_revision,
            waited_ms = waited.unwrap_or_default().as_millis() as u64;
            "configuration taken over"
        );
    }
}
