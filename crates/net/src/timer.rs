//! Timers of the process: a wheel with ticks of a millisecond, and a thread that fires them. Setting one is a lock and
//! a link; the reactor is not woken for it, as it is for each of its own timers.

use std::future::Future;
use std::pin::Pin;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread::Thread;
use std::time::{Duration, Instant};

use violetward_wheel::{TimerKey, TimerWheel};

struct Shared {
    wheel: TimerWheel<Waker>,
    /// The tick at which the thread wakes by itself.
    planned: u64,
}

struct Timers {
    start: Instant,
    shared: Mutex<Shared>,
    thread: Thread,
}

static TIMERS: LazyLock<Timers> = LazyLock::new(|| {
    let run = || {
        // The thread that makes it needs it: it starts once it is there.
        std::thread::park();
        TIMERS.run();
    };
    let spawned = std::thread::Builder::new().name("timers".into()).spawn(run);
    let thread = spawned.expect("a thread can be started").thread().clone();
    thread.unpark();
    let shared = Shared { wheel: TimerWheel::new(0), planned: u64::MAX };
    Timers { start: Instant::now(), shared: Mutex::new(shared), thread }
});

impl Timers {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(&self, at: Instant) -> u64 {
        // Rounded up: early is never.
        at.saturating_duration_since(self.start).as_micros().div_ceil(1000) as u64
    }

    fn run(&self) {
        let mut fired = Vec::new();
        loop {
            let now = self.start.elapsed().as_millis() as u64;
            let next = {
                let mut shared = self.lock();
                shared.wheel.advance(now, &mut fired);
                let next = shared.wheel.next_tick();
                shared.planned = next.unwrap_or(u64::MAX);
                next
            };
            fired.drain(..).for_each(Waker::wake);
            match next {
                Some(next) => {
                    let at = self.start + Duration::from_millis(next);
                    std::thread::park_timeout(at.saturating_duration_since(Instant::now()));
                }
                None => std::thread::park(),
            }
        }
    }
}

/// Waits until an instant; see [`sleep_until`].
#[derive(Debug)]
pub struct Sleep {
    at: Instant,
    key: Option<TimerKey>,
}

/// Waits until an instant, to the millisecond, never less.
pub fn sleep_until(at: Instant) -> Sleep {
    Sleep { at, key: None }
}

/// Waits for a span.
pub fn sleep(span: Duration) -> Sleep {
    let now = Instant::now();
    sleep_until(now.checked_add(span).unwrap_or(now + Duration::from_secs(1 << 30)))
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let timers = &*TIMERS;
        let tick = timers.tick(self.at);
        let mut shared = timers.lock();
        match self.key.and_then(|key| shared.wheel.get_mut(key)) {
            Some(waker) => waker.clone_from(context.waker()),
            None => {
                self.key = Some(shared.wheel.schedule(tick, context.waker().clone()));
                if tick < shared.planned {
                    shared.planned = tick;
                    drop(shared);
                    timers.thread.unpark();
                }
            }
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            TIMERS.lock().wheel.cancel(key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future;

    #[test]
    fn sleeps_end_in_order_and_never_early() {
        let start = Instant::now();
        let span = Duration::from_millis;
        let first = future::block_on(future::or(
            async {
                sleep(span(80)).await;
                2
            },
            async {
                sleep(span(20)).await;
                1
            },
        ));
        assert_eq!(first, 1);
        assert!(start.elapsed() >= span(20));
        drop(sleep(span(10_000)));
        future::block_on(sleep(span(5)));
        assert!(start.elapsed() >= span(25));
    }
}
