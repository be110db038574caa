//! The faults that a replay meets.

use super::Fleet;
use super::case::{Case, Fault};
use super::queue::{Event, Queue};

/// Nodes that die of the first ones.
const DEATHS: usize = 2;

/// Puts the faults of a case in the queue whose times are known.
pub fn foretell(case: &Case, queue: &mut Queue) {
    match case.fault {
        Fault::Death { at } => queue.push(at, Event::Die),
        Fault::Cut { begin, end } => {
            queue.push(begin, Event::Cut(true));
            queue.push(end, Event::Cut(false));
        }
        Fault::None | Fault::Stop { .. } => {}
    }
}

impl Fleet {
    /// Whether a word of one node comes to the other.
    pub fn reaches(&self, one: usize, other: usize) -> bool {
        let [one, other] = [one, other].map(|node| &self.nodes[node]);
        one.alive && other.alive && one.cut == other.cut
    }

    pub fn die(&mut self) {
        for node in &mut self.nodes[..DEATHS] {
            node.alive = false;
        }
        self.set_silent();
    }

    pub fn cut(&mut self, is_cut: bool) {
        for node in self.nodes.iter_mut().filter(|node| !node.spared) {
            node.cut = is_cut;
        }
        self.set_silent();
    }

    /// A taker stops reading with its first answer, if it is one that does.
    pub fn stop(&mut self, taker: usize) {
        let Fault::Stop { time, .. } = self.case.fault else { return };
        let node = &mut self.nodes[taker];
        if !node.spared && !node.stopped && !node.resumed {
            node.stopped = true;
            self.queue.push(self.now + time, Event::Resume(taker));
        }
    }

    pub fn resume(&mut self, taker: usize) {
        let node = &mut self.nodes[taker];
        (node.stopped, node.resumed) = (false, true);
        self.set_silent();
    }

    /// Stops and resumes all answers, after a fault came or went.
    fn set_silent(&mut self) {
        for giver in 0..self.nodes.len() {
            if self.nodes[giver].link.answers.is_empty() {
                continue;
            }
            let taker_gets: Vec<bool> = (0..self.nodes.len())
                .map(|taker| self.reaches(giver, taker) && !self.nodes[taker].stopped)
                .collect();
            self.nodes[giver].link.set_silent(self.now, |taker| !taker_gets[taker]);
            self.foretell(giver);
        }
    }
}
