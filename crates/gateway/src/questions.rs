//! Questions from one host to another over datagrams, which may be lost: a question is sent again
//! until it is answered, and a repeated question gets the same answer.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::messages::PeerMessage;
use crate::peers::send_to_host;
use crate::state::Host;

/// Time to wait for an answer before the question is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Number of times that a question is sent.
const MAX_ATTEMPTS: u32 = 3;

/// Time for which a host that did not answer is not asked again.
const BACKOFF: Duration = Duration::from_millis(500);

/// Time for which an answer is remembered.
const ANSWER_RETENTION: Duration = Duration::from_millis(500);

/// Questions of this host that wait for an answer of type `A`.
#[derive(Debug)]
pub struct PendingQuestions<A> {
    state: Mutex<QuestionState<A>>,
}

#[derive(Debug)]
struct QuestionState<A> {
    /// Where the answer to the question with this id goes.
    waiting: BTreeMap<u64, oneshot::Sender<A>>,
    /// End of the time in which nobody is asked, after a question was not answered.
    backoff_until: Option<ClockInstant>,
}

impl<A> Default for PendingQuestions<A> {
    fn default() -> Self {
        let state = QuestionState { waiting: BTreeMap::new(), backoff_until: None };
        Self { state: Mutex::new(state) }
    }
}

/// Removes a question on drop, also if its asker was cancelled.
struct QuestionGuard<'a, A> {
    questions: &'a PendingQuestions<A>,
    id: u64,
}

impl<A> Drop for QuestionGuard<'_, A> {
    fn drop(&mut self) {
        self.questions.lock().waiting.remove(&self.id);
    }
}

impl<A> PendingQuestions<A> {
    fn lock(&self) -> MutexGuard<'_, QuestionState<A>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether questions may be sent now: none has just been left unanswered.
    pub fn may_ask(&self, now: ClockInstant) -> bool {
        self.lock().backoff_until.is_none_or(|until| until <= now)
    }

    /// Sends no questions for a while.
    pub fn back_off(&self, now: ClockInstant) {
        self.lock().backoff_until = Some(now + BACKOFF);
    }

    /// Sends `message`, the question with the random id `id`, to `peer` until it answers; `None` if
    /// it does not.
    pub async fn ask(
        &self,
        host: &Host,
        peer: &HostId,
        id: u64,
        message: &PeerMessage,
    ) -> Option<A> {
        let (sender, mut answer) = oneshot::channel();
        self.lock().waiting.insert(id, sender);
        let _guard = QuestionGuard { questions: self, id };
        for _ in 0..MAX_ATTEMPTS {
            send_to_host(host, peer, message);
            if let Ok(answered) = timeout(ANSWER_TIMEOUT, &mut answer).await {
                return answered.ok();
            }
        }
        None
    }

    /// Passes on the answer to the question with this id, if it is still awaited.
    pub fn resolve(&self, id: u64, answer: A) {
        if let Some(waiting) = self.lock().waiting.remove(&id) {
            // The asker may have been cancelled.
            let _ = waiting.send(answer);
        }
    }
}

/// Recent answers of type `A` to other hosts, by the id of the question.
#[derive(Debug)]
pub struct RecentAnswers<A> {
    answers: Mutex<BTreeMap<u64, (ClockInstant, A)>>,
}

impl<A> Default for RecentAnswers<A> {
    fn default() -> Self {
        Self { answers: Mutex::new(BTreeMap::new()) }
    }
}

impl<A> RecentAnswers<A>
where
    A: Clone,
{
    /// Returns the answer to the question with this id; calls `decide` if it is a new question.
    pub fn answer_once<D>(&self, now: ClockInstant, id: u64, decide: D) -> A
    where
        D: FnOnce() -> A,
    {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.retain(|_, (at, _)| now.since(*at) < ANSWER_RETENTION);
        answers.entry(id).or_insert_with(|| (now, decide())).1.clone()
    }
}
