//! Faults injected into a replay.

use super::Fleet;
use super::case::{Case, Fault};
use super::queue::{Event, Queue};

/// Number of initial holders that die.
const DYING_NODES: usize = 2;

/// Schedules the faults of a case that occur at fixed times.
pub fn schedule_faults(case: &Case, queue: &mut Queue) {
    match case.fault {
        Fault::Death { at } => queue.push(at, Event::Die),
        Fault::Cut { begin, end } => {
            queue.push(begin, Event::Cut(true));
            queue.push(end, Event::Cut(false));
        }
        Fault::None | Fault::StopReading { .. } => {}
    }
}

impl Fleet {
    /// Returns whether messages between two nodes arrive.
    pub fn can_reach(&self, one: usize, other: usize) -> bool {
        let [one, other] = [one, other].map(|node| &self.nodes[node]);
        one.is_alive && other.is_alive && one.is_cut_off == other.is_cut_off
    }

    pub fn die(&mut self) {
        for node in &mut self.nodes[..DYING_NODES] {
            node.is_alive = false;
        }
        self.update_silence();
    }

    pub fn cut(&mut self, is_cut: bool) {
        for node in self.nodes.iter_mut().filter(|node| !node.is_unaffected) {
            node.is_cut_off = is_cut;
        }
        self.update_silence();
    }

    /// Makes a requester stop reading its first answer, if the fault affects it.
    pub fn stop_reading(&mut self, requester: usize) {
        let Fault::StopReading { time, .. } = self.case.fault else { return };
        let node = &mut self.nodes[requester];
        if !node.is_unaffected && !node.has_stopped_reading && !node.has_resumed_reading {
            node.has_stopped_reading = true;
            self.queue.push(self.now + time, Event::ResumeReading(requester));
        }
    }

    pub fn resume_reading(&mut self, requester: usize) {
        let node = &mut self.nodes[requester];
        (node.has_stopped_reading, node.has_resumed_reading) = (false, true);
        self.update_silence();
    }

    /// Stops and resumes all answers after a fault began or ended.
    fn update_silence(&mut self) {
        for source in 0..self.nodes.len() {
            if self.nodes[source].link.answers.is_empty() {
                continue;
            }
            let can_receive: Vec<bool> = (0..self.nodes.len())
                .map(|requester| {
                    self.can_reach(source, requester) && !self.nodes[requester].has_stopped_reading
                })
                .collect();
            self.nodes[source].link.update_silence(self.now, |requester| !can_receive[requester]);
            self.schedule_next_end(source);
        }
    }
}
