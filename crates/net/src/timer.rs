//! Timers of the process: a timing wheel with ticks of a millisecond and a thread that fires them. Setting a
//! timer locks the wheel and links an entry; it does not wake the reactor, as each of async-io's own timers
//! does.

use std::future::Future;
use std::pin::Pin;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread::Thread;
use std::time::{Duration, Instant};

use violetward_wheel::{TimerKey, TimerWheel};

struct State {
    wheel: TimerWheel<Waker>,
    /// The tick at which the timer thread wakes unless it is unparked; `u64::MAX` if it waits for a timer to
    /// be set.
    next_wake: u64,
}

struct Timers {
    /// The instant of tick 0.
    start: Instant,
    state: Mutex<State>,
    thread: Thread,
}

static TIMERS: LazyLock<Timers> = LazyLock::new(|| {
    let run = || {
        // `TIMERS` holds this thread's handle: the thread waits until it has been initialised.
        std::thread::park();
        TIMERS.run();
    };
    let spawned = std::thread::Builder::new().name("timers".into()).spawn(run);
    let thread = spawned.expect("the timer thread starts").thread().clone();
    thread.unpark();
    let state = State { wheel: TimerWheel::new(0), next_wake: u64::MAX };
    Timers { start: Instant::now(), state: Mutex::new(state), thread }
});

impl Timers {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The first tick at or after an instant, so that no timer fires early.
    fn tick(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros().div_ceil(1000) as u64
    }

    fn run(&self) {
        let mut fired = Vec::new();
        loop {
            let now = self.start.elapsed().as_millis() as u64;
            let next = {
                let mut state = self.lock();
                state.wheel.advance(now, &mut fired);
                let next = state.wheel.next_tick();
                state.next_wake = next.unwrap_or(u64::MAX);
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

/// The future of [`sleep`] and [`sleep_until`].
#[derive(Debug)]
pub struct Sleep {
    deadline: Instant,
    key: Option<TimerKey>,
}

/// Waits until an instant, rounded up to the next tick; never ends early.
pub fn sleep_until(deadline: Instant) -> Sleep {
    Sleep { deadline, key: None }
}

/// Replaces a span that is too long to be added to an instant.
const MAX_SLEEP: Duration = Duration::from_secs(1 << 30);

/// Waits for a span of time.
pub fn sleep(span: Duration) -> Sleep {
    let now = Instant::now();
    sleep_until(now.checked_add(span).unwrap_or(now + MAX_SLEEP))
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        let timers = &*TIMERS;
        let tick = timers.tick(self.deadline);
        let mut state = timers.lock();
        match self.key.and_then(|key| state.wheel.get_mut(key)) {
            Some(waker) => waker.clone_from(context.waker()),
            None => {
                self.key = Some(state.wheel.schedule(tick, context.waker().clone()));
                if tick < state.next_wake {
                    state.next_wake = tick;
                    drop(state);
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
    fn sleeps_end_in_order_and_not_early() {
        let start = Instant::now();
        let millis = Duration::from_millis;
        let first_to_end = future::block_on(future::or(
            async {
                sleep(millis(80)).await;
                "long sleep"
            },
            async {
                sleep(millis(20)).await;
                "short sleep"
            },
        ));
        assert_eq!(first_to_end, "short sleep");
        assert!(start.elapsed() >= millis(20));
        // A sleep that is dropped without being polled does not delay later ones.
        drop(sleep(millis(10_000)));
        future::block_on(sleep(millis(5)));
        assert!(start.elapsed() >= millis(25));
    }
}
