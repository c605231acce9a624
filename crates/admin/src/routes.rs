//! Serves the routes of the table.

use std::rc::Rc;

use actix_web::{HttpRequest, HttpResponse, http::Method, web};
use base::Code;
use ctl::request::Credential;
use flow::Answer;
use serde_json::Value;

use crate::{
    Service, action,
    configs::admin::Admin,
    openapi,
    operator::{Operator, Role, Trust},
    problem, query,
    route::{self, Input, Operation, Route},
};

/// Adds the routes of the administration interface, served by an instance.
pub fn configure<S: Service>(config: &mut web::ServiceConfig, service: Rc<S>, limits: Admin) {
    let state = web::Data::new((service, limits));
    let mut scope = web::scope(route::ROOT).app_data(state);
    for route in route::ALL {
        let method = match route.input.method() {
            "POST" => Method::POST,
            _ => Method::GET,
        };
        let handle = move |state: State<S>, head, payload| handle(state, route, head, payload);
        let resource = web::resource(route.path)
            .route(web::method(method).to(handle))
            .default_service(web::to(|state: State<S>| {
                refuse(state, Code::MethodUnknown)
            }));
        scope = scope.service(resource);
    }
    let unknown = web::to(|state: State<S>| refuse(state, Code::RouteUnknown));
    config.service(scope.default_service(unknown));
}

type State<S> = web::Data<(Rc<S>, Admin)>;

async fn refuse<S: Service>(state: State<S>, code: Code) -> HttpResponse {
    let answer = Answer::refusal(code, code.title());
    front::problem::respond(&answer, state.0.new_request_id(), None)
}

async fn handle<S: Service>(
    state: State<S>,
    route: &'static Route,
    head: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let (service, config) = (&*state.0, &state.1);
    let id = service.new_request_id();
    match answer(service, config, route, &head, payload).await {
        Ok(body) => HttpResponse::Ok()
            .insert_header(("Cache-Control", "no-store"))
            .json(body),
        Err(answer) => front::problem::respond(&problem::add_jitter(answer, id), id, None),
    }
}

async fn answer<S: Service>(
    service: &S,
    config: &Admin,
    route: &Route,
    head: &HttpRequest,
    payload: web::Payload,
) -> Result<Value, Answer> {
    if route.operation == Operation::OpenApi {
        return Ok(openapi::describe());
    }
    let credential = credential(head)?;
    // Operators without permission are refused before their body is read.
    let operator = authorize(service, config, route, &credential)?;
    let body = front::read_body(payload, config.max_body_bytes).await?;
    let target = head.uri().to_string();
    if !credential.verifies(head.method().as_str(), &target, &body) {
        let detail =
            "the signature does not fit the method, the path with its query, the time and the body";
        return Err(Answer::refusal(Code::OperatorUnknown, detail));
    }
    if route.input != Input::PageQuery && !head.query_string().is_empty() {
        let detail = "the route takes no query";
        return Err(Answer::refusal(Code::QueryInvalid, detail));
    }
    match route.operation {
        Operation::Accounts => Ok(query::accounts(service)),
        Operation::Audit => query::audit(service, config, head.query_string()).await,
        Operation::Check => Ok(query::check(&body)),
        Operation::Diff => query::diff(service, config, &body).await,
        Operation::History => query::history(service, config).await,
        Operation::InFlight => Ok(query::in_flight(service)),
        Operation::Limits => Ok(query::limits(service)),
        Operation::OpenApi => Ok(openapi::describe()),
        Operation::Pipelines => Ok(query::pipelines(service)),
        Operation::Pools => Ok(query::pools(service)),
        Operation::Publish | Operation::RollOut | Operation::SignOff => {
            action::append(service, config, &operator, route.operation, &body).await
        }
        Operation::Status => query::status(service, config).await,
        Operation::Suspects => Ok(query::suspects(service)),
    }
}

fn credential(head: &HttpRequest) -> Result<Credential, Answer> {
    let refuse = |detail: &str| Answer::refusal(Code::OperatorUnknown, detail);
    let header = head.headers().get("Authorization");
    let header = header.ok_or_else(|| refuse("the Authorization header is missing"))?;
    let text = header.to_str().unwrap_or_default();
    Credential::parse(text)
        .ok_or_else(|| refuse("not `Limpetstep key=…,at=…,signature=…` as ctl request prints it"))
}

fn authorize<S: Service>(
    service: &S,
    config: &Admin,
    route: &Route,
    credential: &Credential,
) -> Result<Operator, Answer> {
    let (bundle, root_keys) = (service.bundle(), service.root_keys());
    let trust = Trust {
        bundle: bundle.as_deref(),
        root_keys: &root_keys,
        now: service.now(),
        max_clock_skew: config.max_clock_skew,
    };
    let required = route.role.unwrap_or(Role::View);
    Operator::authorize(credential, trust, required)
}
