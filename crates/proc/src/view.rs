//! A proxy that shows the platform to one failure domain. Instances of other domains are listed
//! with the addresses of links that can be cut.

use core::{cell::RefCell, net::SocketAddr};
use std::{io, rc::Rc};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer, dev::ServerHandle, http::StatusCode, rt::spawn, web,
};
use awc::Client;
use platform::Instance;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::link::{Link, State};

/// The largest body that is forwarded.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// One failure domain's view of the platform; dropping it stops the proxy.
pub struct View {
    address: SocketAddr,
    server: ServerHandle,
    state: watch::Sender<State>,
}

/// The state of a proxy worker.
struct Proxy {
    client: Client,
    domain: String,
    links: RefCell<Vec<(SocketAddr, Link)>>,
    platform: SocketAddr,
    states: watch::Receiver<State>,
}

#[derive(Deserialize, Serialize)]
struct Listing {
    instances: Vec<Instance>,
}

impl View {
    /// Opens the view that a failure domain has of a platform.
    ///
    /// # Errors
    ///
    /// There is no free port.
    ///
    /// # Examples
    ///
    /// ```
    /// # actix_web::rt::System::new().block_on(async {
    /// let platform = "127.0.0.1:9".parse().unwrap();
    /// let view = proc::view::View::open(platform, "domain-1").unwrap();
    /// view.set(proc::link::State::Cut);
    /// # });
    /// ```
    pub fn open(platform: SocketAddr, domain: &str) -> io::Result<Self> {
        let (state, states) = watch::channel(State::Open);
        let domain = domain.to_owned();
        let server = HttpServer::new(move || {
            let proxy = Rc::new(Proxy {
                client: Client::new(),
                domain: domain.clone(),
                links: RefCell::default(),
                platform,
                states: states.clone(),
            });
            App::new()
                .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
                .app_data(proxy)
                .default_service(web::to(forward))
        });
        let server = server.workers(1).disable_signals().bind("127.0.0.1:0")?;
        let address = server.addrs()[0];
        let server = server.run();
        let handle = server.handle();
        spawn(server);
        Ok(Self {
            address,
            server: handle,
            state,
        })
    }

    /// Returns the address of the proxy.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of every link to other failure domains.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

impl Drop for View {
    fn drop(&mut self) {
        // The stop of the server needs no waiting.
        drop(self.server.stop(false));
    }
}

async fn forward(request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let proxy: Rc<Proxy> = Rc::clone(request.app_data().expect("a proxy"));
    let url = format!("http://{}{}", proxy.platform, request.uri());
    let sent = proxy.client.request(request.method().clone(), url);
    let sent = sent.content_type("application/json").send_body(body).await;
    let Ok(mut response) = sent else {
        return HttpResponse::new(StatusCode::BAD_GATEWAY);
    };
    let mut answer = HttpResponse::build(response.status());
    for header in response
        .headers()
        .iter()
        .filter(|(name, _)| *name == "retry-after")
    {
        answer.insert_header(header);
    }
    if request.path() == "/instances"
        && let Ok(listing) = response.json().limit(MAX_BODY_BYTES).await
    {
        return answer.json(proxy.replace_addresses(listing).await);
    }
    match response.body().limit(MAX_BODY_BYTES).await {
        Ok(body) => answer.content_type("application/json").body(body),
        Err(_) => HttpResponse::new(StatusCode::BAD_GATEWAY),
    }
}

impl Proxy {
    async fn replace_addresses(&self, mut listing: Listing) -> Listing {
        for instance in &mut listing.instances {
            if instance.domain.as_str() != self.domain {
                instance.address = self.link_address(instance.address).await;
            }
        }
        listing
    }

    async fn link_address(&self, target: SocketAddr) -> SocketAddr {
        let known = |links: &[(SocketAddr, Link)]| {
            let at = links.binary_search_by_key(&target, |(target, _)| *target);
            at.map(|at| links[at].1.address())
        };
        if let Ok(address) = known(&self.links.borrow()) {
            return address;
        }
        let link = Link::follow(target, self.states.clone()).await;
        let link = link.expect("a free port");
        let mut links = self.links.borrow_mut();
        // Another request may have opened a link meanwhile.
        known(&links).unwrap_or_else(|at| {
            let address = link.address();
            links.insert(at, (target, link));
            address
        })
    }
}
