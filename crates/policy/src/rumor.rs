//! Changed records that a node still has to disseminate.

use crate::member::Record;
use crate::roster::Roster;
use hickory_unit::id;

/// Maximum number of records per message, so that a datagram fits any link unfragmented.
pub(crate) const MAX_RECORDS: usize = 12;

/// Number of times that a record is sent, in addition to the logarithm of the number of nodes.
const BASE_SENDS: u32 = 8;

/// Number of sends saved for each peer found to have the same table.
const EQUAL_DIGEST_SENDS: u32 = 3;

/// A record that is still to be sent.
#[derive(Clone, Debug)]
struct News {
    node: id::Node,
    sends_left: u32,
    /// Whether it was sent at least once.
    is_sent: bool,
}

/// Records to send, each a limited number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    news: Vec<News>,
}

impl Rumors {
    /// Adds the record of a node, in a fleet of `nodes` nodes.
    pub(crate) fn add(&mut self, node: id::Node, nodes: usize) {
        self.news.retain(|news| news.node != node);
        let logarithm = u32::BITS - (nodes as u32).leading_zeros();
        self.news.push(News { node, sends_left: BASE_SENDS + logarithm, is_sent: false });
    }

    /// Returns whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.news.is_empty()
    }

    /// Returns whether there are changes that were not sent to any node yet.
    pub(crate) fn has_unsent_news(&self) -> bool {
        self.news.iter().any(|news| !news.is_sent)
    }

    /// Returns the least sent records and counts them as sent.
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

    /// Records that a peer has the same table: it needs no news, and neither do many other nodes.
    pub(crate) fn note_equal_digest(&mut self) {
        self.news
            .iter_mut()
            .for_each(|news| news.sends_left = news.sends_left.saturating_sub(EQUAL_DIGEST_SENDS));
        self.news.retain(|news| news.sends_left > 0);
    }
}
