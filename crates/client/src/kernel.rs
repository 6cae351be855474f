//! The notebook kernel protocol, by a connection file, with the endings of the statement protocol. It sends nothing again:
//! a cell whose reply does not come ends as [`Ending::Unknown`].

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use violetward_kernel::kernel::{header, TABLE};
use violetward_kernel::message::{Message, Signer};
use violetward_kernel::zmtp::{self, Got, Limits, Reader, Socket};
use violetward_net::timeout;
use violetward_statement::results::{FAILED, REFUSED};

use crate::client::{Ending, Query, Rows};

/// How long the result may come after the reply: they travel on two sockets.
const RESULT_WITHIN: Duration = Duration::from_secs(2);

struct Peer {
    stream: Async<TcpStream>,
    reader: Reader,
}

impl Peer {
    async fn connect(address: SocketAddr, socket: Socket) -> io::Result<Peer> {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        stream.write_all(&[zmtp::greeting(), zmtp::ready(socket)].concat()).await?;
        let limits = Limits { message: 64 << 20, ..Limits::default() };
        let mut peer = Peer { stream, reader: Reader::new(socket, limits) };
        match peer.next().await? {
            Got::Ready(_) => Ok(peer),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    async fn next(&mut self) -> io::Result<Got> {
        let mut chunk = vec![0; 16 << 10];
        loop {
            let got = self.reader.next().map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            if let Some(got) = got {
                return Ok(got);
            }
            let size = self.stream.read(&mut chunk).await?;
            if size == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.reader.feed(&chunk[..size]);
        }
    }
}

/// A client of one kernel.
pub struct KernelClient {
    shell: Peer,
    iopub: Peer,
    signer: Signer,
    session: String,
    sent: u64,
    /// Wait for a cell without a deadline.
    pub patience: Duration,
}

impl KernelClient {
    /// Connects by a connection file and waits until the kernel answers and publishes to us.
    ///
    /// # Errors
    /// If the file cannot be read or the kernel not be reached.
    pub async fn connect(file: &Path) -> io::Result<KernelClient> {
        let told: Value = serde_json::from_slice(&std::fs::read(file)?)?;
        let bad = || io::Error::new(io::ErrorKind::InvalidData, "no connection file");
        let ip: IpAddr = told["ip"].as_str().and_then(|ip| ip.parse().ok()).ok_or_else(bad)?;
        let port = |name: &str| told[name].as_u64().and_then(|p| u16::try_from(p).ok()).ok_or_else(bad);
        let key = told["key"].as_str().ok_or_else(bad)?;
        let mut iopub = Peer::connect((ip, port("iopub_port")?).into(), Socket::Sub).await?;
        iopub.stream.write_all(&zmtp::message(&[b"\x01"])).await?;
        let shell = Peer::connect((ip, port("shell_port")?).into(), Socket::Dealer).await?;
        let session = format!("{:016x}", rand::random::<u64>());
        let signer = Signer::new(key.as_bytes(), 4096);
        let mut client =
            KernelClient { shell, iopub, signer, session, sent: 0, patience: Duration::from_secs(60) };
        // A subscription takes effect some time after it was sent: seen once something of ours is published.
        for _ in 0..50 {
            let id = client.send("kernel_info_request", &json!({}), &json!({})).await?;
            client.reply(&id).await?;
            if timeout(Duration::from_millis(200), client.published(&id)).await.is_some() {
                return Ok(client);
            }
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    async fn send(&mut self, kind: &str, metadata: &Value, content: &Value) -> io::Result<String> {
        self.sent += 1;
        let id = format!("{}-{}", self.session, self.sent);
        let mut header = header(id.clone(), &self.session, kind, String::new());
        header.username = "client".into();
        let parts = self.signer.write_with(&[], &header, &Value::Null, metadata, content);
        self.shell.stream.write_all(&zmtp::message(&parts)).await?;
        Ok(id)
    }

    async fn reply(&mut self, id: &str) -> io::Result<Message> {
        loop {
            if let Got::Message(parts) = self.shell.next().await? {
                if let Some(message) = self.read(&parts, id) {
                    return Ok(message);
                }
            }
        }
    }

    /// All that is published of a request, to the idle at its end.
    async fn published(&mut self, id: &str) -> io::Result<Vec<Message>> {
        let mut all = Vec::new();
        loop {
            if let Got::Message(parts) = self.iopub.next().await? {
                let Some(message) = self.read(&parts, id) else { continue };
                if message.header.msg_type == "status" && message.content["execution_state"] == "idle" {
                    return Ok(all);
                }
                all.push(message);
            }
        }
    }

    /// A message that answers one of ours; what is not signed, or of others, is passed over.
    fn read(&mut self, parts: &[Vec<u8>], id: &str) -> Option<Message> {
        let message = self.signer.read(parts).ok()?;
        (message.parent["msg_id"] == id).then_some(message)
    }

    /// Runs a cell to its end.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run(&mut self, query: &Query) -> Result<Rows, Ending> {
        let wait = query.deadline.unwrap_or(self.patience);
        let mut tags: Vec<String> = query.class.iter().cloned().collect();
        tags.extend(query.key.iter().map(|k| format!("key={k}")));
        tags.extend(query.mark.iter().map(|m| format!("repeat={m}")));
        let mut terms = json!({ "tags": tags, "max_run_millis": wait.as_millis().max(1) as u64 });
        if let Some(cpu) = query.cpu {
            terms["cpu_millis"] = (cpu.as_millis() as u64).into();
        }
        if let Some(memory) = query.memory {
            terms["memory_bytes"] = memory.into();
        }
        let content =
            json!({ "code": query.sql, "silent": false, "store_history": true, "stop_on_error": false });
        let until = Instant::now() + wait + Duration::from_secs(1);
        let metadata = json!({ "violetward": terms });
        let unknown = |why: String| Ending::Unknown { message: why };
        let asked = async {
            let id = self.send("execute_request", &metadata, &content).await?;
            let reply = self.reply(&id).await?;
            Ok::<_, io::Error>((id, reply))
        };
        let asked = timeout(until.saturating_duration_since(Instant::now()), asked).await;
        let (id, reply) = asked
            .ok_or_else(|| unknown("no reply by the deadline".into()))?
            .map_err(|e| unknown(format!("no reply: {e}")))?;
        let content = &reply.content;
        if content["status"] != "ok" {
            let text = |name: &str| content[name].as_str().unwrap_or_default().to_owned();
            let message = text("evalue");
            return Err(match text("ename").as_str() {
                REFUSED => {
                    let after = content["retry_after_millis"].as_u64().unwrap_or(0);
                    Ending::Refused { retry_after: Duration::from_millis(after), message }
                }
                FAILED => Ending::Failed { message },
                name => Ending::Declined { name: name.to_owned(), message },
            });
        }
        let mut rows = Rows { sends: 1, ..Rows::default() };
        // Published messages may be dropped for a slow reader: then it ran, and its rows are missing.
        let published = timeout(RESULT_WITHIN, self.published(&id)).await;
        let published = published
            .ok_or_else(|| Ending::Failed { message: "it ran, but its result did not come".into() })?
            .map_err(|e| Ending::Failed { message: format!("it ran, but its result did not come: {e}") })?;
        for message in published.iter().filter(|m| m.header.msg_type == "execute_result") {
            let table = &message.content["data"][TABLE];
            rows.columns = serde_json::from_value(table["columns"].clone()).unwrap_or_default();
            rows.rows = serde_json::from_value(table["rows"].clone()).unwrap_or_default();
        }
        Ok(rows)
    }
}
