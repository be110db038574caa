//! A target that has fallen silent, and the search for another one.
//!
//! Whether a silent target goes on is unknown, and often no other one takes the request. The silent
//! one is therefore kept until another one has begun to answer.

use crate::attempt::{Failure, Start};
use crate::dialect::Dialect;
use crate::place::Place;
use crate::run::Run;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::future::Future;
use std::pin::Pin;

/// The target that goes on with an answer.
pub(crate) enum Winner<T, D: Dialect, S: Store, C: Clock> {
    /// The one that the request was sent to before, with what it sent next.
    Same(T),
    /// Another one.
    Other(Box<(Start, Place<D, S, C>)>),
}

impl<D: Dialect, S: Store, C: Clock> Run<D, S, C> {
    /// Tries other targets while waiting for a silent one. The first that answers goes on, and the
    /// connections to the others are closed.
    ///
    /// # Errors
    ///
    /// The silent target failed, or the deadline passed.
    pub(crate) async fn race<T>(
        &mut self,
        place: &Place<D, S, C>,
        mut silent: Pin<&mut impl Future<Output = Result<T, Failure>>>,
    ) -> Result<Winner<T, D, S, C>, Failure> {
        self.note_stalled(place);
        let silent_times = (self.sent_at, self.writing_since);
        let silent_before = self.silent.len();
        self.silent.push(place.target.tag);
        let mut failure = None;
        let found = {
            let mut search = Box::pin(self.begin_answer());
            loop {
                tokio::select! {
                    biased;
                    next = silent.as_mut(), if failure.is_none() => match next {
                        Ok(next) => break Ok(Winner::Same(next)),
                        Err(error) => failure = Some(error),
                    },
                    found = &mut search => break found.map(|found| Winner::Other(Box::new(found))),
                }
            }
        };
        self.silent.truncate(silent_before);
        let search_times = (self.sent_at, self.writing_since);
        (self.sent_at, self.writing_since) = silent_times;
        let detail = match (found, failure) {
            (Ok(Winner::Other(other)), None) if other.0.status().is_server_error() => {
                let (start, place) = *other;
                self.note_response(&place, start.status());
                format!("status {}", start.status())
            }
            (Ok(winner), failure) => {
                if let Some(failure) = failure {
                    self.note_replaced(place, &failure).await;
                }
                if let Winner::Other(..) = winner {
                    (self.sent_at, self.writing_since) = search_times;
                }
                return Ok(winner);
            }
            (Err(_), Some(failure)) => return Err(failure),
            (Err(refusal), None) => refusal.detail,
        };
        self.log_kept(place, &detail);
        let next = tokio::time::timeout(self.time_left(), silent).await;
        next.unwrap_or(Err(Failure::DeadlineExceeded)).map(Winner::Same)
    }
}
