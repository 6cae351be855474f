//! Signals sent to this process.

use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

/// Waits for the next signal. Errors in reading signals are ignored.
pub async fn next_signal(signals: &mut Signals) -> Signal {
    loop {
        match signals.next().await {
            Some(Ok(signal)) => return signal,
            Some(Err(_)) => future::yield_now().await,
            None => future::pending().await,
        }
    }
}
