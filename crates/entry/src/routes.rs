//! Routes for operators and for the platform's balancer.

use std::rc::Rc;

use actix_web::{HttpResponse, web};
use base::Stamp;
use serde::Deserialize;

use crate::{
    control::roster::gather::Gather,
    shared::{Readiness, Shared},
};

/// Adds the routes.
///
/// - `GET /v1/burn`: the use of the error budgets, for `limpetstep-report`.
/// - `GET /v1/burn/domain?at=MILLIS`: the same, summarized over all instances of the failure
///   domain for a report at a time.
/// - `GET /v1/position`: the position of the configuration in force here, for `limpetstep-ctl status`.
/// - `GET /screen`: the shared screen, a page that reloads itself.
/// - `GET /live`: the process runs.
/// - `GET /ready`: the instance has a configuration in force, knows a server of every pool (or has waited
///   long enough for one) and is not stopping.
/// - `GET /metrics`: the metrics, for Prometheus.
pub(crate) fn configure(config: &mut web::ServiceConfig, shared: Shared) {
    config
        .app_data(web::Data::new(Rc::new(shared)))
        .route("/v1/burn", web::get().to(burn))
        .route("/v1/burn/domain", web::get().to(domain))
        .route("/v1/position", web::get().to(position))
        .route("/screen", web::get().to(screen_page))
        .route("/live", web::get().to(live))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

async fn burn(shared: web::Data<Rc<Shared>>) -> HttpResponse {
    let mut tracker = shared.tracker();
    tracker.compact(shared.clock.stamp());
    HttpResponse::Ok().json(&*tracker)
}

/// The time of a report, in milliseconds; defaults to now.
#[derive(Deserialize)]
struct Moment {
    at: Option<u64>,
}

async fn domain(shared: web::Data<Rc<Shared>>, moment: web::Query<Moment>) -> HttpResponse {
    let now = shared.clock.stamp();
    shared.tracker().compact(now);
    let gather = Gather {
        at: moment.at.map_or(now, Stamp::from_millis),
        tracker: shared.tracker.clone(),
    };
    match shared.roster.send(gather).await {
        Ok(domain) => HttpResponse::Ok().json(domain),
        Err(error) => HttpResponse::ServiceUnavailable().body(format!("{error}\n")),
    }
}

async fn position(shared: web::Data<Rc<Shared>>) -> HttpResponse {
    HttpResponse::Ok().json(*shared.position.borrow())
}

async fn screen_page(shared: web::Data<Rc<Shared>>) -> HttpResponse {
    let Some(view) = shared.screen.borrow().clone() else {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("Refresh", "5"))
            .body("no failure domain has told its state yet\n");
    };
    let config = screen::configs::screen::Screen::default();
    HttpResponse::Ok()
        .content_type("text/html; charset=utf-8")
        .body(screen::page::html(&view, shared.clock.stamp(), &config))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(shared: web::Data<Rc<Shared>>) -> HttpResponse {
    let reason = match shared.readiness() {
        Readiness::Ready => return HttpResponse::Ok().body("ready\n"),
        Readiness::Bundle => "no configuration is in force yet\n",
        Readiness::Servers => "a pool has no server that is known yet\n",
        Readiness::Stopping => "stopping\n",
    };
    HttpResponse::ServiceUnavailable().body(reason)
}

async fn metrics(shared: web::Data<Rc<Shared>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.text())
}
