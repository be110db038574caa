//! News of members that a node still has to send on.

use crate::member::Record;
use crate::roster::Roster;
use hickory_unit::id;

/// Records in one message: a datagram must go through all links unfragmented.
pub(crate) const MAX_RECORDS: usize = 12;

/// How often a record is sent on, besides a logarithm of the nodes.
const BASE_SENDS: u32 = 8;

/// By how much less often a record is sent on after a peer was met that has it.
const EQUAL_DIGEST_SENDS: u32 = 3;

/// A record that is still to be sent on.
#[derive(Clone, Debug)]
struct News {
    node: id::Node,
    sends_left: u32,
    /// Whether it was sent on at all.
    is_sent: bool,
}

/// Records to be sent on, each a bounded number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    news: Vec<News>,
}

impl Rumors {
    /// Puts a node's record in, among so many nodes.
    pub(crate) fn add(&mut self, node: id::Node, nodes: usize) {
        self.news.retain(|news| news.node != node);
        let logarithm = u32::BITS - (nodes as u32).leading_zeros();
        self.news.push(News { node, sends_left: BASE_SENDS + logarithm, is_sent: false });
    }

    /// Whether nothing is to be sent on.
    pub(crate) fn is_empty(&self) -> bool {
        self.news.is_empty()
    }

    /// Whether there is news that was told to nobody yet.
    pub(crate) fn has_unsent_news(&self) -> bool {
        self.news.iter().any(|news| !news.is_sent)
    }

    /// The records that were sent on least, which count as sent.
    pub(crate) fn take(&mut self, roster: &Roster) -> Vec<Record> {
        self.news.sort_by_key(|news| std::cmp::Reverse(news.sends_left));
        let mut records = Vec::new();
        for news in self.news.iter_mut().take(MAX_RECORDS) {
            records.extend(roster.get(&news.node).cloned());
            news.sends_left -= 1;
            news.is_sent = true;
        }
        self.news.retain(|news| news.sends_left > 0);
        records
    }

    /// Notes that a peer holds the same: it needs no news, and neither do many others.
    pub(crate) fn note_equal_digest(&mut self) {
        self.news
            .iter_mut()
            .for_each(|news| news.sends_left = news.sends_left.saturating_sub(EQUAL_DIGEST_SENDS));
        self.news.retain(|news| news.sends_left > 0);
    }
}
