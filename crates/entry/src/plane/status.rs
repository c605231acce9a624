//! The status of an earlier request.

use base::{Code, Digest, Key, Outcome};
use defer::Task;
use flow::Answer;
use ledger::{owner::Verdict, projection::State, slot::Slot};

use crate::{
    control::ledger::Lookup,
    plane::{Plane, claim, deferred},
};

/// Returns the status of the request or call made under a key.
pub(crate) async fn lookup(plane: &Plane, credential: Digest, key: Key) -> Answer {
    plane.refresh();
    let account = {
        let inner = plane.inner.borrow();
        inner
            .account_by_token(credential)
            .map(|account| account.name.clone())
    };
    let Some(account) = account else {
        return Answer::refusal(Code::AccountUnknown, "no account has this token");
    };
    let has_deferred = plane.inner.borrow().has_deferred();
    let task = Task::new(&account, &key);
    if has_deferred && let Some(answer) = deferred::status(plane, task).await {
        return answer;
    }
    let slot = Slot::new(account.as_str(), &key, claim::EMPTY_STAGE);
    let reply = plane.shared.ledger.send(Lookup(slot)).await;
    match reply.unwrap_or(Verdict::UNANSWERED) {
        Verdict::Found(State::Done { answer, .. }) => claim::to_answer(&answer),
        Verdict::Found(State::InProgress { holder, .. })
            if claim::is_holder_gone(plane, &holder) =>
        {
            claim::unknown_outcome(&holder)
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
