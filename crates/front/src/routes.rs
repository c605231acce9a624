//! HTTP routes for callers.

use std::rc::Rc;

use actix_web::{HttpRequest, HttpResponse, error::PayloadError, http::ConnectionType, web};
use base::{Code, Key, request::Id};
use bytes::{Bytes, BytesMut};
use flow::Answer;
use futures_util::StreamExt as _;
use tokio::sync::mpsc;

use crate::{Frame, Reply, Service, Submission, problem, submission};

/// Adds the routes for callers with the service that runs their requests.
///
/// - `POST /v1/pipelines/{pipeline}`: runs a request.
/// - `GET /v1/requests/{key}`: returns the status of an earlier request.
pub fn configure<S: Service>(config: &mut web::ServiceConfig, service: Rc<S>) {
    config
        .app_data(web::Data::new(service))
        .route("/v1/pipelines/{pipeline}", web::post().to(send::<S>))
        .route("/v1/requests/{key}", web::get().to(status::<S>));
}

async fn send<S: Service>(
    service: web::Data<Rc<S>>,
    head: HttpRequest,
    pipeline: web::Path<String>,
    payload: web::Payload,
) -> HttpResponse {
    let id = service.new_id();
    let response = match read_submission(&***service, &head, &pipeline, payload).await {
        Ok(submission) => serve(&***service, id, submission).await,
        Err(answer) => problem::respond(&answer, id, None),
    };
    close_if(response, service.is_closing())
}

async fn serve<S: Service>(service: &S, id: Id, submission: Submission) -> HttpResponse {
    let key = submission.key;
    match service.serve(id, submission).await {
        Reply::Complete(answer) => problem::respond(&answer, id, key),
        Reply::Stream(frames) => stream_response(frames, id, key),
    }
}

/// Closes the connection after the response if the instance is stopping, so that the caller opens another one,
/// which the load balancer routes to another instance.
fn close_if(mut response: HttpResponse, closing: bool) -> HttpResponse {
    if closing {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn read_submission<S: Service>(
    service: &S,
    head: &HttpRequest,
    pipeline: &str,
    payload: web::Payload,
) -> Result<Submission, Answer> {
    let body = read_body(payload, service.body_limit()).await?;
    Submission::parse(head, pipeline, &body, service.now())
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// - `BodyInvalid`: the body is truncated.
/// - `BodyTooLarge`: the body exceeds the limit.
pub async fn read_body(mut payload: web::Payload, limit: usize) -> Result<BytesMut, Answer> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| payload_refusal(&error))?;
        if body.len() + chunk.len() > limit {
            let detail = format!("the body is over {limit} bytes");
            return Err(Answer::refusal(Code::BodyTooLarge, detail));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn payload_refusal(error: &PayloadError) -> Answer {
    Answer::refusal(Code::BodyInvalid, error.to_string())
}

fn stream_response(frames: mpsc::Receiver<Frame>, id: Id, key: Option<Key>) -> HttpResponse {
    let events = futures_util::stream::unfold(frames, move |mut frames| async move {
        let frame = frames.recv().await?;
        Some((Ok::<Bytes, actix_web::Error>(frame.encode(id, key)), frames))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("Cache-Control", "no-store"))
        .insert_header(("Limpetstep-Request", id.to_string()))
        .streaming(events)
}

async fn status<S: Service>(
    service: web::Data<Rc<S>>,
    head: HttpRequest,
    key: web::Path<String>,
) -> HttpResponse {
    let id = service.new_id();
    let credential = match submission::credential(&head) {
        Ok(credential) => credential,
        Err(answer) => return problem::respond(&answer, id, None),
    };
    let key = match Key::parse(&key) {
        Ok(key) => key,
        Err(error) => {
            let answer = Answer::refusal(Code::KeyInvalid, error.to_string());
            return problem::respond(&answer, id, None);
        }
    };
    let answer = service.status(credential, key).await;
    problem::respond(&answer, id, Some(key))
}
