//! Actions: each appends one record that the operator signed.

use base::Code;
use bundle::{Event, Record, approval::Fault, check, sign::Message};
use ctl::{Error, Receipt, Session, View, submit};
use flow::Answer;
use platform::Log;
use serde_json::{Value, json};

use crate::{Service, configs::admin::Admin, operator::Operator, problem, route::Operation};

/// Appends a signed record and returns its effect in the log.
pub(crate) async fn append<S: Service>(
    service: &S,
    config: &Admin,
    operator: &Operator,
    operation: Operation,
    body: &[u8],
) -> Result<Value, Answer> {
    let record = parse_record(operation, body)?;
    let mut session = Session {
        log: service.log(),
        roots: service.root_keys(),
        dry_run: false,
        appender: service.instance(),
    };
    let view = View::read(session.log, &session.roots).await;
    let view = view
        .and_then(View::require_synced)
        .map_err(|error| problem::from_error(&error, config))?;
    check_sender(operator, &record, &view)?;
    let result = match view.preview(&record) {
        Ok(event) => {
            check_content(&view, &record)?;
            let repeated = matches!(event, Some(Event::Repeated { .. }));
            // A record that repeats an earlier one is not appended.
            session.dry_run = repeated;
            let result = submit(&session, &view, record).await;
            result.map(|receipt| Receipt {
                repeated: receipt.repeated || repeated,
                ..receipt
            })
        }
        Err(error) => Err(error),
    };
    match result {
        Ok(receipt) => Ok(receipt_json(&session, &receipt)),
        Err(error) => Err(refuse(&session, config, &error).await),
    }
}

fn receipt_json<L>(session: &Session<'_, L>, receipt: &Receipt) -> Value {
    let mut answer = json!(receipt);
    answer["instance"] = json!(session.appender);
    answer
}

/// Parses a record of the kind that the route accepts.
fn parse_record(operation: Operation, body: &[u8]) -> Result<Record, Answer> {
    let refuse = |detail: String| Answer::refusal(Code::RecordInvalid, detail);
    let text = core::str::from_utf8(body).map_err(|error| refuse(error.to_string()))?;
    let record = Record::parse(text).map_err(|error| refuse(error.to_string()))?;
    match (operation, &record) {
        (Operation::Publish, Record::Publish(_))
        | (Operation::RollOut, Record::RollOut(_))
        | (Operation::SignOff, Record::SignOff(_)) => Ok(record),
        _ => Err(refuse("the record is of another kind".to_owned())),
    }
}

/// Checks that the operator who sends a record signed it, so that the audit trail names who acted.
fn check_sender(operator: &Operator, record: &Record, view: &View) -> Result<(), Answer> {
    let (message, signature) = match record {
        Record::Publish(one) => {
            let message = Message::publish(one.version, one.base, one.digest);
            (message, one.signature)
        }
        Record::RollOut(one) => {
            let message = Message::roll_out(one.base, one.digest, one.nonce);
            (message, one.signature)
        }
        Record::SignOff(one) => {
            let Some(proposal) = view.projection.proposal(&one.digest) else {
                // The preview that follows rejects a sign-off without an open proposal.
                return Ok(());
            };
            let approval = &proposal.approval;
            let message = Message::sign_off(approval.version, approval.base, one.digest);
            (message, one.signature)
        }
        Record::Carry(_) => return Ok(()),
    };
    if signature.verifies(&message, &operator.key) {
        return Ok(());
    }
    let detail = format!(
        "the record is not signed by {}, who sends it",
        operator.name
    );
    Err(Answer::refusal(Code::OperatorForbidden, detail))
}

/// Checks the bundle of a proposal, as `limpetstep-ctl publish` does.
fn check_content(view: &View, record: &Record) -> Result<(), Answer> {
    let Record::Publish(publish) = record else {
        return Ok(());
    };
    let refuse = |detail: String| Answer::refusal(Code::BundleFaulty, detail);
    let document = publish
        .content
        .to_document(view.projection.document().map(AsRef::as_ref));
    let document = document.map_err(|fault| refuse(fault.to_string()))?;
    let bundle = document
        .bundle()
        .map_err(|error| refuse(error.to_string()))?;
    let faults = check::faults(&bundle);
    if faults.is_empty() {
        return Ok(());
    }
    Err(refuse(Error::Faults(faults).to_string()))
}

/// Returns the refusal for an error. After a lost race it names the winner.
async fn refuse<L: Log>(session: &Session<'_, L>, config: &Admin, error: &Error) -> Answer {
    let mut answer = problem::from_error(error, config);
    if let Error::Refused(Fault::Base { .. }) = error
        && let Ok(view) = View::read(session.log, &session.roots).await
    {
        answer.detail += &problem::winner_text(&view);
    }
    answer
}
