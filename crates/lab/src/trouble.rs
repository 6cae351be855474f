//! What goes wrong on a day, by the names that operators use for it.

use std::rc::Rc;
use std::time::Duration;

use violetward_net::sleep;
use violetward_standin::fault::Fault;

use crate::day::World;
use crate::load::Shape;
use crate::process::fault;

/// All troubles, with what each does.
pub const ALL: [(&str, &str); 22] = [
    ("crash", "a fifth of the engines die at once and come back cold after 4 s"),
    ("vanish", "a fifth of the engines fall silent and come back cold after 4 s"),
    ("slow", "a quarter of the engines run 5 times slower for 5 s"),
    ("hang", "a fifth of the engines take statements and answer none for 4 s"),
    ("fast_errors", "a fifth of the engines fail 80% of their statements at once for 4 s"),
    ("neighbour", "another program takes 60% of a third of the engines, on and off"),
    ("burst", "twice the usual traffic for 3 s"),
    ("heavy_tail", "a tenth of the reports cost 12 times the usual for 5 s; estimates show it"),
    ("discovery_stale", "the list runs 4 s further behind while an engine crashes"),
    ("balancer_roll", "the gateways are restarted in order, one after the other"),
    ("shared_slow", "all engines run twice as slow for 4 s"),
    ("flush", "all engines forget what they kept warm, three times"),
    ("report_late", "load is told 2 s late for 6 s"),
    ("tenant_burst", "one tenant sends as much as all others for 4 s"),
    ("hot_key", "all loads carry one key for 5 s"),
    ("deploy", "the engines are replaced one after the other; successors start cold"),
    ("balancer_crash", "a third of the gateways are killed and come back after 1.5 s"),
    ("ageing", "half of the engines get slower and slower"),
    ("mass_restart", "half of the engines restart at once"),
    ("balancer_stall", "each gateway stands still for 1.3 s, at times of its own"),
    ("answer_lost", "a fifth of the engines lose 30% of their answers for 5 s"),
    ("preempt", "two engines are taken away for good, with notice of 2 s"),
];

/// The further trouble that changes the mix for good.
pub const SHIFT: (&str, &str) = ("shift", "a sixth of the statements turn into reports, for good");

/// Whether there is such a trouble.
pub fn is_known(name: &str) -> bool {
    name == SHIFT.0 || ALL.iter().any(|t| t.0 == name)
}

/// Plays a trouble to its end.
pub async fn play(world: Rc<World>, name: &str) {
    let ms = Duration::from_millis;
    let on = |share: f64, what: Fault| {
        let victims = world.victims(share);
        async move {
            for (_, control) in victims {
                fault(control, &what).await;
            }
        }
    };
    let shaped = |shape: Shape, span: Duration| {
        let world = world.clone();
        async move {
            world.shape.set(shape);
            sleep(span).await;
            world.shape.set(Shape::default());
        }
    };
    let usual = Shape::default();
    match name {
        "crash" | "vanish" => {
            for (engine, control) in world.victims(0.2) {
                let what = if name == "crash" {
                    Fault::Crash { for_ms: 4000 }
                } else {
                    Fault::Vanish { for_ms: 4000 }
                };
                fault(control, &what).await;
                world.tell_restart(engine, ms(4000));
            }
        }
        "slow" => on(0.25, Fault::Slow { factor: 5.0, for_ms: 5000 }).await,
        "hang" => on(0.2, Fault::Hang { for_ms: 4000 }).await,
        "fast_errors" => on(0.2, Fault::FastErrors { share: 0.8, for_ms: 4000 }).await,
        "neighbour" => {
            for _ in 0..3 {
                on(0.34, Fault::Neighbour { share: 0.6, for_ms: 1200 }).await;
                sleep(ms(2000)).await;
            }
        }
        "burst" => shaped(Shape { rate: 2.0, ..usual }, ms(3000)).await,
        "heavy_tail" => shaped(Shape { heavy_tail: 0.1, ..usual }, ms(5000)).await,
        "discovery_stale" => {
            world.lag.set(world.plan.list_lag + ms(4000));
            for (engine, control) in world.victims(0.2) {
                fault(control, &Fault::Crash { for_ms: 3000 }).await;
                world.tell_restart(engine, ms(3000));
            }
            sleep(ms(6000)).await;
            world.lag.set(world.plan.list_lag);
        }
        "balancer_roll" => {
            for number in 0..world.plan.gateways {
                world.roll_gateway(number).await;
                sleep(ms(300)).await;
            }
        }
        "shared_slow" => on(1.0, Fault::Slow { factor: 2.0, for_ms: 4000 }).await,
        "flush" => {
            for _ in 0..3 {
                on(1.0, Fault::Flush).await;
                sleep(ms(1500)).await;
            }
        }
        "report_late" => on(1.0, Fault::ReportLate { by_ms: 2000, for_ms: 6000 }).await,
        "tenant_burst" => shaped(Shape { rate: 2.0, tenant: 4.0, ..usual }, ms(4000)).await,
        "hot_key" => shaped(Shape { hot_key: true, ..usual }, ms(5000)).await,
        "deploy" => deploy(&world).await,
        "balancer_crash" => {
            for number in 0..world.plan.gateways.div_ceil(3) {
                world.crash_gateway(number, ms(1500)).await;
            }
        }
        "ageing" => {
            for step in 1..=5 {
                let factor = 1.0 + 0.4 * f64::from(step);
                on(0.5, Fault::Slow { factor, for_ms: 1500 }).await;
                sleep(ms(1200)).await;
            }
        }
        "mass_restart" => {
            for (engine, control) in world.victims(0.5) {
                fault(control, &Fault::Crash { for_ms: 600 }).await;
                world.tell_restart(engine, ms(600));
            }
        }
        "balancer_stall" => {
            for number in 0..world.plan.gateways {
                world.stall_gateway(number, ms(1300)).await;
                sleep(ms(400)).await;
            }
        }
        "answer_lost" => on(0.2, Fault::LostAnswers { share: 0.3, for_ms: 5000 }).await,
        "preempt" => {
            for (engine, _) in world.victims(0.3) {
                let gone = engine.clone();
                drain(&world, &engine);
                let world = world.clone();
                let lag = world.lag.get();
                world
                    .clone()
                    .executor
                    .spawn(async move {
                        sleep(ms(2000) + lag).await;
                        world.end_engine(&gone);
                        world.tell(move |list| list.retain(|e| e.name != gone));
                    })
                    .detach();
            }
        }
        "shift" => world.shape.set(Shape { shift: 0.17, ..usual }),
        _ => {}
    }
}

fn drain(world: &Rc<World>, engine: &str) {
    let name = engine.to_owned();
    world.tell(move |list| list.iter_mut().filter(|e| e.name == name).for_each(|e| e.state = "draining"));
}

/// Replaces the engines one after the other: told to drain, given time, ended, its successor started.
async fn deploy(world: &Rc<World>) {
    let old: Vec<String> = world.engines.borrow().iter().map(|e| e.listed.name.clone()).collect();
    for name in old {
        drain(world, &name);
        sleep(world.lag.get() + Duration::from_millis(600)).await;
        world.end_engine(&name);
        let gone = name.clone();
        world.tell(move |list| list.retain(|e| e.name != gone));
        world.add_engine().await;
        sleep(Duration::from_millis(300)).await;
    }
}
