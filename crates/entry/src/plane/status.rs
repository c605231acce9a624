//! What became of an earlier request.

use base::{Code, Digest, Key, Outcome};
use defer::Task;
use flow::Answer;
use ledger::{owner::Verdict, projection::State, slot::Slot};

use crate::{
    control::ledger::Lookup,
    plane::{Plane, jobs, once},
};

/// Tells what the ledger knows of the call made under a key.
pub(crate) async fn ask(plane: &Plane, credential: Digest, key: Key) -> Answer {
    plane.refresh();
    let account = {
        let inner = plane.inner.borrow();
        inner
            .account(credential)
            .map(|account| account.name.clone())
    };
    let Some(account) = account else {
        return Answer::refusal(Code::AccountUnknown, "no account has this token");
    };
    let deferred = plane.inner.borrow().has_deferred();
    let task = Task::new(&account, &key);
    if deferred && let Some(answer) = jobs::status(plane, task).await {
        return answer;
    }
    let slot = Slot::new(account.as_str(), &key, once::STAGE);
    let asked = plane.shared.ledger.send(Lookup(slot)).await;
    match asked.unwrap_or(Verdict::UNANSWERED) {
        Verdict::Found(State::Done { answer, .. }) => once::answer(&answer),
        Verdict::Found(State::InProgress { holder, .. }) if once::is_gone(plane, &holder) => {
            once::unknown(&holder)
        }
        Verdict::Found(State::InProgress { holder, .. }) => {
            let detail = format!("claimed by {holder}");
            Answer::refusal(Code::InProgress, detail).with_retry_after(plane.shared.settings.poll)
        }
        Verdict::Found(State::Free) => Answer::refusal(
            Code::RequestUnknown,
            "no call that may not be repeated was claimed under this key",
        ),
        Verdict::Expired => Answer::refusal(Code::KeyExpired, "the key is too old to tell")
            .with_outcome(Outcome::Unknown),
        _ => Answer::refusal(Code::EarlierUnknown, "the ledger cannot be read now")
            .with_retry_after(plane.shared.settings.platform_limit),
    }
}
