//! Requests a gateway's JSON resources, for the operators' commands and the lab.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use violetward_net::Connection;
use violetward_statement::http::{Headers, Limits};

/// How long an answer is awaited.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests the JSON document under this path.
///
/// # Errors
///
/// The body of an answer other than 200, or why there is no answer.
pub(crate) async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, String> {
    let exchange = async {
        let mut connection =
            Connection::connect(address, Limits::default()).await.map_err(|e| e.to_string())?;
        let mut headers = Headers::default();
        headers.push("Host", address.to_string());
        connection.call("GET", path, &headers, b"").await.map_err(|e| e.to_string())
    };
    let message = violetward_net::timeout(REQUEST_TIMEOUT, exchange).await.ok_or("no answer")??;
    if message.status() != 200 {
        return Err(String::from_utf8_lossy(&message.body).trim().to_owned());
    }
    serde_json::from_slice(&message.body).map_err(|e| e.to_string())
}
