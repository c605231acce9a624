//! Two concurrent planners, one of which is paused and resumed, with engines that check fencing tokens and
//! engines that ignore them.

use core::time::Duration;

use base::{Incarnation, Name, Stamp, Tick};
use googletest::prelude::*;
use place::{
    configs,
    lease::{Action, Event, Lease},
    order::{Engine, Order},
    plan::Model,
    planner::{Planner, Snapshot},
};

struct Simulation {
    now: Tick,
    log: Vec<String>,
    planners: Vec<Planner>,
    engines: Vec<Engine>,
    fences: Vec<u64>,
    models: Vec<Model>,
    applied: usize,
    refused: usize,
}

impl Simulation {
    fn new() -> Self {
        let planner = |index: usize| {
            let holder = Incarnation::new(format!("entry-{index}"), Stamp::from_millis(5));
            let lease = Lease::new(configs::Lease::default(), holder, true);
            Planner::new(configs::Planner::default(), lease)
        };
        let engine = |index: usize| Engine {
            server: Incarnation::new(format!("runner-{index}"), Stamp::from_millis(5)),
            models: Vec::new(),
            memory: 10,
            is_fenced: index < 2,
        };
        Self {
            now: Tick::from_millis(1),
            log: Vec::new(),
            planners: (0..2).map(planner).collect(),
            engines: (0..4).map(engine).collect(),
            fences: vec![0; 4],
            models: vec![model("a", 12.0), model("b", 4.0)],
            applied: 0,
            refused: 0,
        }
    }

    /// Runs some planners for a number of seconds; their orders take effect immediately.
    fn run(&mut self, indexes: &[usize], seconds: u64) {
        for _ in 0..seconds {
            for index in indexes {
                self.event(*index, Event::Tick);
                for order in self.orders(*index) {
                    self.apply(&order);
                }
            }
            self.now = self.now + Duration::from_secs(1);
        }
    }

    fn event(&mut self, index: usize, event: Event) {
        for action in self.planners[index].handle(self.now, event) {
            let event = match action {
                Action::Append { body } => {
                    self.log.push(body);
                    Event::Appended
                }
                Action::Read { from } => {
                    let skip = usize::try_from(from).unwrap();
                    let records = (from..).zip(self.log.iter().skip(skip).cloned());
                    Event::Page {
                        first: 0,
                        end: self.log.len() as u64,
                        records: records.collect(),
                    }
                }
            };
            self.event(index, event);
        }
    }

    fn orders(&mut self, index: usize) -> Vec<Order> {
        let snapshot = Snapshot {
            models: &self.models,
            engines: &self.engines,
            store_bandwidth: 1.0,
        };
        self.planners[index].next_orders(self.now, &snapshot)
    }

    fn apply(&mut self, order: &Order) {
        let at = self
            .engines
            .iter()
            .position(|engine| engine.server == order.server);
        let at = at.unwrap();
        if self.engines[at].is_fenced && order.fence < self.fences[at] {
            self.refused += 1;
            return;
        }
        self.applied += 1;
        self.fences[at] = order.fence;
        self.engines[at].models.clone_from(&order.models);
    }

    fn loaded(&self) -> String {
        let names = self.engines.iter().flat_map(|engine| &engine.models);
        let mut names: Vec<&str> = names.map(Name::as_str).collect();
        names.sort_unstable();
        names.join(" ")
    }
}

fn model(name: &str, demand: f64) -> Model {
    Model {
        name: name.into(),
        bytes: 8,
        demand,
        engine_rate: 4.0,
    }
}

#[gtest]
fn planners_reach_the_target_state_and_then_send_no_orders() {
    let mut sim = Simulation::new();
    sim.run(&[0, 1], 100);
    expect_that!(sim.loaded(), eq("a a a b"));
    expect_that!(sim.applied, eq(4));
}

#[gtest]
fn late_orders_of_a_replaced_planner_are_refused_or_corrected() {
    let mut sim = Simulation::new();
    sim.run(&[0], 1);
    // The first planner is paused after it has computed orders and before it sends them.
    sim.engines
        .iter_mut()
        .for_each(|engine| engine.models.clear());
    let mut late = Vec::new();
    for _ in 0..2 {
        sim.now = sim.now + Duration::from_secs(1);
        let orders = sim.orders(0);
        late.extend(orders);
    }
    // The demand reverses, and another planner takes over and places models for it.
    sim.models = vec![model("a", 4.0), model("b", 12.0)];
    sim.run(&[1], 200);
    let target = "a b b b";
    expect_that!(sim.loaded(), eq(target));
    // The first planner resumes, and its driver does not check the lease again.
    let mut orders = late;
    let old: Vec<Order> = sim
        .engines
        .iter()
        .map(|engine| Order {
            fence: 0,
            server: engine.server.clone(),
            models: vec!["a".into()],
        })
        .collect();
    orders.extend(old);
    expect_that!(sim.planners[0].fence(sim.now), none());
    for order in &orders {
        sim.apply(order);
    }
    expect_that!(sim.refused, ge(2));
    expect_that!(sim.loaded(), not(eq(target)));
    let before = sim.applied;
    sim.run(&[0, 1], 200);
    expect_that!(sim.loaded(), eq(target));
    // One order corrects the effect of one late order.
    expect_that!(sim.applied - before, le(orders.len()));
}

#[gtest]
fn concurrent_loads_are_limited() {
    let mut sim = Simulation::new();
    sim.event(0, Event::Tick);
    let sent = sim.orders(0);
    expect_that!(sent, len(eq(configs::Planner::default().max_loads)));
    // No effect has been observed yet.
    expect_that!(sim.orders(0), is_empty());
}

#[gtest]
fn an_order_without_effect_is_resent() {
    let mut sim = Simulation::new();
    sim.event(0, Event::Tick);
    let first = sim.orders(0);
    for _ in 0..70 {
        sim.now = sim.now + Duration::from_secs(1);
        sim.event(0, Event::Tick);
    }
    let again = sim.orders(0);
    let servers = |orders: &[Order]| orders.iter().map(|o| o.server.clone()).collect::<Vec<_>>();
    expect_that!(servers(&again), eq(&servers(&first)));
}

#[gtest]
fn a_replaced_order_is_no_longer_pending() {
    let mut sim = Simulation::new();
    sim.event(0, Event::Tick);
    let first = sim.orders(0).remove(0);
    let sent = sim.now;
    let limit = configs::Lease::default().order_limit;
    sim.now = sim.now + limit + Duration::from_secs(1);
    sim.event(0, Event::Tick);
    let busy = |sim: &Simulation| sim.planners[0].pending_servers().contains(&first.server);
    // Neither a poll before the order may have arrived nor a report of the order itself removes it.
    let other = [Name::from("c")];
    let (server, asked) = (&first.server, sim.now);
    sim.planners[0].record_target(sent + limit, server, &other);
    sim.planners[0].record_target(asked, server, &first.models);
    expect_that!(busy(&sim), eq(true));
    sim.planners[0].record_target(asked, server, &other);
    expect_that!(busy(&sim), eq(false));
    expect_that!(sim.orders(0), contains(eq(&first)));
}
