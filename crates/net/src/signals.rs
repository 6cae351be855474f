//! Signals to this process.

use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

/// The next signal. An error in reading one is no signal: it is passed over.
pub async fn next_signal(signals: &mut Signals) -> Signal {
    loop {
        match signals.next().await {
            Some(Ok(signal)) => return signal,
            Some(Err(_)) => future::yield_now().await,
            None => future::pending().await,
        }
    }
}
