//! Finds the request or the prompt parts that explain crashes of targets.

use crate::crash::Certainty;
use crate::part::{Crash, Evidence, Part, Quarantine, SETTLING_TIME};
use derive_more::Display;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Number of crashes in series after which a part is quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Number of crashes in series for a part that was sound before, since many prompts may share it.
const KNOWN_PART_QUARANTINE_CRASHES: usize = 5;

/// Number of different requests among them. A single request may have met engines that crashed for
/// another reason.
const MIN_REQUESTS: usize = 2;

/// Number of crashes in series after which a whole request is quarantined, if no other request was
/// on all of these targets and no other target crashed with them. Otherwise a further crash is
/// needed to tell the causes apart.
const WHOLE_QUARANTINE_CRASHES: usize = 2;

/// The same if one of them is only a possible crash: its path may have been cut, or its answer had been
/// written for long. A third target rarely fails under the same sound request before it is answered.
const POSSIBLE_WHOLE_QUARANTINE_CRASHES: usize = 3;

/// How far the times of crashes that other nodes state may be off: each is stated by its age, so that
/// the time on the way adds to it. A stream is resumed within a few milliseconds after a crash.
pub(crate) const MAX_TIME_ERROR: Duration = Duration::from_millis(20);

/// Whether a crash counts against a request or a part, and why it doesn't.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// It counts.
    #[display("counted")]
    Counted,
    /// An answer to the whole request cancels it.
    #[display("answered")]
    Answered,
    /// An answer on the part began after it.
    #[display("cleared")]
    Cleared,
    /// Other nodes may still report what else ran on the target.
    #[display("settling")]
    Settling,
    /// Its request was sent before the last crash that counts.
    #[display("sent_before")]
    SentBefore,
    /// It was on the target of the last crash that counts.
    #[display("same_target")]
    SameTarget,
    /// It came together with crashes of further targets.
    #[display("burst")]
    Burst,
}

/// The number of crashes of each weight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally(BTreeMap<Weight, usize>);

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (weight, count) in &self.0 {
            write!(f, "{separator}{weight}={count}")?;
            separator = ",";
        }
        Ok(())
    }
}

impl<K: Copy + Eq + Hash> Evidence<K> {
    /// Returns the quarantine that explains the most crashes in series, and then the most targets.
    /// Parts that were never sound come first: a part that most prompts share is on most engines that
    /// crash.
    pub(crate) fn find_cause(&self, now: Instant) -> Option<Quarantine> {
        let mut counts: HashMap<Part, usize> = HashMap::new();
        for part in self.crashes.iter().flat_map(|crash| &crash.parts) {
            *counts.entry(*part).or_default() += 1;
        }
        let causes = counts.into_iter().filter_map(|(part, count)| {
            if count < WHOLE_QUARANTINE_CRASHES {
                return None;
            }
            let series = self.series(now, part);
            let is_known = self.sound.contains_key(&part);
            let is_cause = match self.crashes.iter().any(|crash| crash.whole == Some(part)) {
                true => self.is_whole_a_cause(part, &series),
                false => is_part_a_cause(is_known, &series),
            };
            let quarantine = is_cause.then(|| self.common_parts(&series))?;
            Some(((!is_known, series.len(), self.count_targets(part)), part, quarantine))
        });
        let is_imposed =
            |quarantine: &Quarantine| self.quarantines.iter().any(|q| q.covers(&quarantine.parts));
        let causes = causes.filter(|(_, _, quarantine)| !is_imposed(quarantine));
        let best = causes.max_by_key(|(rank, part, quarantine)| {
            (*rank, quarantine.parts.len(), std::cmp::Reverse(*part))
        });
        best.map(|(_, _, quarantine)| quarantine)
    }

    /// Returns whether a whole request explains a series of its crashes.
    fn is_whole_a_cause(&self, whole: Part, series: &[&Crash<K>]) -> bool {
        let Some((first, others)) = series.split_first() else { return false };
        let was_on = |request: Part, target: K| {
            self.crashes.iter().any(|crash| crash.target == target && crash.whole == Some(request))
        };
        let mut rivals = self.crashes.iter().filter(|crash| crash.target == first.target);
        let has_rival = rivals.any(|rival| {
            let rival = rival.whole.filter(|rival| *rival != whole);
            rival.is_some_and(|rival| others.iter().all(|crash| was_on(rival, crash.target)))
        });
        let is_likely = series.iter().all(|crash| crash.certainty == Certainty::Likely);
        let needs_more = has_rival || self.is_in_burst(whole, series);
        let min_crashes = match is_likely {
            true => WHOLE_QUARANTINE_CRASHES + usize::from(needs_more),
            false => POSSIBLE_WHOLE_QUARANTINE_CRASHES + usize::from(needs_more),
        };
        series.len() >= min_crashes
    }

    /// Returns whether targets that didn't run the request crashed together with those of its series,
    /// as when a zone is lost.
    fn is_in_burst(&self, whole: Part, series: &[&Crash<K>]) -> bool {
        let own = self.crashes.iter().filter(|crash| crash.whole == Some(whole));
        let own: HashSet<K> = own.map(|crash| crash.target).collect();
        let mut others = self.crashes.iter().filter(|crash| !own.contains(&crash.target));
        others.any(|other| series.iter().any(|one| is_near(one, other)))
    }

    /// Returns the longest series of crashes that count against a part: each of a request that was
    /// sent after the crash before. Those of a burst count once, since a request that loses its target to
    /// it is often sent to another one that it takes. An answer to a whole request cancels the last crash
    /// before it.
    pub(crate) fn series(&self, now: Instant, part: Part) -> Vec<&Crash<K>> {
        let weighed = self.weigh(now, part).into_iter();
        weighed.filter_map(|(crash, weight)| (weight == Weight::Counted).then_some(crash)).collect()
    }

    /// Returns the crashes under a part and whether each counts against it.
    fn weigh(&self, now: Instant, part: Part) -> Vec<(&Crash<K>, Weight)> {
        let cleared_until = self.sound.get(&part);
        let mut answers = self.answers.iter().filter(|answer| answer.whole == part).peekable();
        let mut weighed: Vec<(&Crash<K>, Weight)> = Vec::new();
        let mut series: Vec<(usize, &Crash<K>)> = Vec::new();
        for crash in self.crashes.iter().filter(|crash| crash.parts.contains(&part)) {
            while answers.next_if(|answer| answer.began_at <= crash.crashed_at).is_some() {
                cancel_last(&mut series, &mut weighed);
            }
            let weight = match series.last() {
                _ if cleared_until.is_some_and(|until| crash.crashed_at < *until) => {
                    Weight::Cleared
                }
                _ if crash.crashed_at + SETTLING_TIME > now => Weight::Settling,
                None => Weight::Counted,
                Some((_, last)) if last.crashed_at > crash.sent_at + MAX_TIME_ERROR => {
                    Weight::SentBefore
                }
                Some((_, last)) if last.target == crash.target => Weight::SameTarget,
                Some((_, last)) if self.is_one_burst(&series, last, crash) => Weight::Burst,
                Some(_) => Weight::Counted,
            };
            if weight == Weight::Counted {
                series.push((weighed.len(), crash));
            }
            weighed.push((crash, weight));
        }
        for _ in answers {
            cancel_last(&mut series, &mut weighed);
        }
        weighed
    }

    /// Returns how many crashes under a part have which weight once all have settled.
    pub fn tally(&self, now: Instant, part: Part) -> Tally {
        let mut tally = Tally::default();
        for (_, weight) in self.weigh(now + SETTLING_TIME, part) {
            *tally.0.entry(weight).or_default() += 1;
        }
        tally
    }

    /// Returns whether a crash came together with the last one of a series and with that of a further
    /// target, which held its request before and so isn't a consequence of the series.
    fn is_one_burst(
        &self,
        series: &[(usize, &Crash<K>)],
        last: &Crash<K>,
        crash: &Crash<K>,
    ) -> bool {
        let is_other = |other: &&Crash<K>| {
            other.target != crash.target && series.iter().all(|(_, one)| one.target != other.target)
        };
        let mut others = self.crashes.iter().filter(is_other);
        is_near(last, crash)
            && others.any(|other| other.sent_at < last.crashed_at && is_near(other, crash))
    }

    /// Returns the quarantine of the parts that all crashes of a series have in common and that
    /// weren't cleared since its first one.
    fn common_parts(&self, series: &[&Crash<K>]) -> Quarantine {
        let (first, last) = (series[0], series[series.len() - 1]);
        let is_common = |part: &&Part| {
            series.iter().all(|crash| crash.parts.contains(part))
                && self.sound.get(part).is_none_or(|began_at| *began_at <= first.crashed_at)
        };
        let mut parts: Vec<Part> = first.parts.iter().filter(is_common).copied().collect();
        parts.sort_unstable();
        parts.dedup();
        Quarantine { parts, first_crash: first.crashed_at, last_crash: last.crashed_at }
    }

    /// Returns the number of targets that crashed under a part.
    fn count_targets(&self, part: Part) -> usize {
        let crashes = self.crashes.iter().filter(|crash| crash.parts.contains(&part));
        crashes.map(|crash| crash.target).collect::<HashSet<K>>().len()
    }
}

/// Lets an answer cancel the last crash of a series.
fn cancel_last<K>(series: &mut Vec<(usize, &Crash<K>)>, weighed: &mut [(&Crash<K>, Weight)]) {
    if let Some((index, _)) = series.pop() {
        weighed[index].1 = Weight::Answered;
    }
}

/// Returns whether two crashes came together.
pub(crate) fn is_near<K>(one: &Crash<K>, other: &Crash<K>) -> bool {
    let begin = one.crashed_at.min(other.crashed_at);
    let end = one.crashed_at.max(other.crashed_at);
    end.saturating_duration_since(begin) < SETTLING_TIME
}

/// Returns whether a shared part explains a series of its crashes.
fn is_part_a_cause<K>(is_known: bool, series: &[&Crash<K>]) -> bool {
    // Copies and repetitions of one request say nothing on which of its parts is to blame.
    let identify = |crash: &&Crash<K>| crash.whole.map_or(crash.request, |whole| whole.0);
    let requests: HashSet<u64> = series.iter().map(identify).collect();
    let min_crashes = if is_known { KNOWN_PART_QUARANTINE_CRASHES } else { QUARANTINE_CRASHES };
    series.len() >= min_crashes && requests.len() >= MIN_REQUESTS
}
