//! The notebook kernel protocol, by connection files, with the endings of the statement protocol. [`KernelClient`] is one
//! session of one kernel and sends nothing again; [`Kernels`] is any number of sessions over several gateways' kernels, where
//! the same table and budget decide as over the statement protocol. No window for marked statements is told before a cell's
//! end, so a keyed cell whose reply does not come ends as [`Ending::Unknown`].

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use violetward_kernel::kernel::{header, TABLE};
use violetward_kernel::message::{Message, Signer};
use violetward_kernel::zmtp::{self, Got, Limits, Reader, Socket};
use violetward_net::{sleep, timeout};
use violetward_statement::results::{FAILED, REFUSED};

use crate::choice::Choice;
use crate::client::{Ending, Options, Query, Rows};
use crate::resend::{Budget, Effect, Micros, Next, Stop, Table};

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
    control: SocketAddr,
    key: String,
    /// Wait for a cell without a deadline.
    pub patience: Duration,
}

impl KernelClient {
    /// Connects by a connection file and waits until the kernel answers and publishes to us.
    ///
    /// # Errors
    /// If the file cannot be read or the kernel not be reached.
    pub async fn connect(file: &Path) -> io::Result<KernelClient> {
        // Written whole and small: read in one go.
        let told: Value = serde_json::from_slice(&std::fs::read(file)?)?;
        let bad = || io::Error::new(io::ErrorKind::InvalidData, "no connection file");
        let ip: IpAddr = told["ip"].as_str().and_then(|ip| ip.parse().ok()).ok_or_else(bad)?;
        let port = |name: &str| told[name].as_u64().and_then(|p| u16::try_from(p).ok()).ok_or_else(bad);
        let key = told["key"].as_str().ok_or_else(bad)?;
        let session = format!("{:016x}", rand::random::<u64>());
        let mut iopub = Peer::connect((ip, port("iopub_port")?).into(), Socket::Sub).await?;
        // What is published for other sessions is not ours to read.
        let topic = [b"\x01", session.as_bytes()].concat();
        iopub.stream.write_all(&zmtp::message(&[topic.as_slice()])).await?;
        let shell = Peer::connect((ip, port("shell_port")?).into(), Socket::Dealer).await?;
        let signer = Signer::new(key.as_bytes(), 4096);
        let mut client = KernelClient {
            shell,
            iopub,
            signer,
            session,
            sent: 0,
            control: (ip, port("control_port")?).into(),
            key: key.to_owned(),
            patience: Duration::from_secs(60),
        };
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

    /// Whether the kernel still answers, within a span.
    pub async fn answers(&mut self, within: Duration) -> bool {
        let asked = async {
            let id = self.send("kernel_info_request", &json!({}), &json!({})).await?;
            self.reply(&id).await
        };
        matches!(timeout(within, asked).await, Some(Ok(_)))
    }

    /// For stopping this session's cells from another task.
    pub fn interrupter(&self) -> Interrupter {
        Interrupter { control: self.control, key: self.key.clone(), session: self.session.clone() }
    }

    /// Runs a cell to its end.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run(&mut self, query: &Query) -> Result<Rows, Ending> {
        self.attempt(query, query.deadline.unwrap_or(self.patience)).await.map_err(|(_, ending)| ending)
    }

    /// Runs a cell, and says how it stopped.
    async fn attempt(&mut self, query: &Query, wait: Duration) -> Result<Rows, (Stop, Ending)> {
        let mut terms = json!({ "tags": query.tags(), "max_run_millis": wait.as_millis().max(1) as u64 });
        if let Some(cpu) = query.cpu {
            terms["cpu_millis"] = (cpu.as_millis() as u64).into();
        }
        if let Some(memory) = query.memory {
            terms["memory_bytes"] = memory.into();
        }
        if let Some(mark) = &query.mark {
            terms["trace"] = mark.as_str().into();
        }
        let content =
            json!({ "code": query.sql, "silent": false, "store_history": true, "stop_on_error": false });
        let until = Instant::now() + wait + Duration::from_secs(1);
        let metadata = json!({ "violetward": terms });
        let unknown = |why: String| (Stop::PostUnanswered, Ending::Unknown { message: why });
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
                    (Stop::Refused, Ending::Refused { retry_after: Duration::from_millis(after), message })
                }
                FAILED => (Stop::Failed, Ending::Failed { message }),
                "" if content["status"] == "aborted" => {
                    // It waited behind a cell that was interrupted or failed, and never began.
                    (Stop::Declined, Ending::Declined { name: "ABORTED".into(), message })
                }
                name => (Stop::Declined, Ending::Declined { name: name.to_owned(), message }),
            });
        }
        let mut rows = Rows { sends: 1, ..Rows::default() };
        // Published messages may be dropped for a slow reader: then it ran, and its rows are missing.
        let published = timeout(RESULT_WITHIN, self.published(&id)).await;
        let published = published
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|e| format!("it ran, but its result did not come: {e}"))
            .map_err(|message| (Stop::Failed, Ending::Failed { message }))?;
        for message in published.iter().filter(|m| m.header.msg_type == "execute_result") {
            let table = &message.content["data"][TABLE];
            rows.columns = serde_json::from_value(table["columns"].clone()).unwrap_or_default();
            rows.rows = serde_json::from_value(table["rows"].clone()).unwrap_or_default();
        }
        Ok(rows)
    }
}

/// Stops the cells of one session.
#[derive(Debug, Clone)]
pub struct Interrupter {
    control: SocketAddr,
    key: String,
    session: String,
}

impl Interrupter {
    /// Asks the kernel to stop what runs in the session and to drop what waits there.
    ///
    /// # Errors
    /// If the kernel cannot be reached or does not answer within two seconds.
    pub async fn interrupt(&self) -> io::Result<()> {
        let asked = async {
            let mut control = Peer::connect(self.control, Socket::Dealer).await?;
            let mut signer = Signer::new(self.key.as_bytes(), 16);
            let id = format!("{}-i{:016x}", self.session, rand::random::<u64>());
            let header = header(id.clone(), &self.session, "interrupt_request", String::new());
            let parts = signer.write_with(&[], &header, &Value::Null, &json!({}), &json!({}));
            control.stream.write_all(&zmtp::message(&parts)).await?;
            loop {
                let Got::Message(parts) = control.next().await? else { continue };
                if signer.read(&parts).is_ok_and(|m| m.parent["msg_id"] == id.as_str()) {
                    return Ok(());
                }
            }
        };
        timeout(Duration::from_secs(2), asked).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Sessions over the kernels of several gateways, each known by its connection file.
pub struct Kernels {
    files: Vec<PathBuf>,
    options: Options,
    table: Table,
    budget: RefCell<Budget>,
    choice: RefCell<Choice>,
    idle: RefCell<Vec<Vec<KernelClient>>>,
    start: Instant,
    sent: Cell<u64>,
}

impl Kernels {
    /// Of these connection files. Nothing is connected before it is needed.
    pub fn new(files: &[PathBuf], options: Options, budget: Budget) -> Self {
        Kernels {
            files: files.to_vec(),
            options,
            table: Table::default(),
            budget: RefCell::new(budget),
            choice: RefCell::new(Choice::new(files.len())),
            idle: RefCell::new(files.iter().map(|_| Vec::new()).collect()),
            start: Instant::now(),
            sent: Cell::new(0),
        }
    }

    /// Cells sent so far, first tries included.
    pub fn sent(&self) -> u64 {
        self.sent.get()
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Runs a statement to its end, as [`crate::Client::run`] does.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run(&self, query: &Query) -> Result<Rows, Ending> {
        self.run_until(query, std::future::pending()).await
    }

    /// Runs a statement to its end, and interrupts its cell once `stop` completes; nothing is sent again after that.
    ///
    /// # Errors
    /// See [`Ending`].
    pub async fn run_until(
        &self,
        query: &Query,
        stop: impl std::future::Future<Output = ()>,
    ) -> Result<Rows, Ending> {
        let mut stop = Box::pin(stop);
        let stopped = Cell::new(false);
        let now = self.now();
        self.budget.borrow_mut().begin(now);
        let mut case = query.case(now, &self.options);
        let mut last = None;
        loop {
            let dice = [rand::random(), rand::random()];
            let picked = self.choice.borrow_mut().pick(self.now(), dice, last);
            let none =
                || Ending::Declined { name: "NO_GATEWAY".into(), message: "none is configured".into() };
            let which = picked.ok_or_else(none)?;
            last = Some(which);
            case.sends += 1;
            let begun = Instant::now();
            let left = Duration::from_micros(case.due.saturating_sub(self.now()));
            let interrupter = RefCell::new(None);
            let tried = {
                let stopping = async {
                    if stopped.get() {
                        std::future::pending::<()>().await;
                    }
                    stop.as_mut().await;
                    stopped.set(true);
                    let found: Option<Interrupter> = interrupter.borrow().clone();
                    if let Some(found) = found {
                        found.interrupt().await.ok();
                    }
                    std::future::pending().await
                };
                futures_lite::future::or(self.attempt(which, query, left, &interrupter), stopping).await
            };
            case.cancelled = stopped.get();
            let now = self.now();
            let good = !matches!(tried, Err((Stop::NotWritten | Stop::PostUnanswered, _)));
            self.choice.borrow_mut().done(which, now, begun.elapsed(), good);
            let (stop, ending) = match tried {
                Ok(rows) => return Ok(Rows { sends: case.sends, ..rows }),
                Err(stopped) => stopped,
            };
            case.advice = match &ending {
                Ending::Refused { retry_after, .. } => Some(*retry_after),
                _ => None,
            };
            let next = self.table.decide(stop, &case, now, &mut self.budget.borrow_mut(), rand::random());
            match next {
                Next::Send { after } => sleep(after).await,
                Next::End => return Err(ending),
                Next::Poll { .. } | Next::Unknown => {
                    return Err(Ending::Unknown { message: ending.to_string() })
                }
            }
        }
    }

    async fn attempt(
        &self,
        which: usize,
        query: &Query,
        left: Duration,
        interrupter: &RefCell<Option<Interrupter>>,
    ) -> Result<Rows, (Stop, Ending)> {
        let not_written = |why: String| {
            let message = format!("no kernel to talk to: {why}");
            (Stop::NotWritten, Ending::Refused { retry_after: Duration::ZERO, message })
        };
        let within = left.min(Duration::from_secs(2));
        let idle = self.idle.borrow_mut()[which].pop();
        let mut kept = idle;
        if let (Some(client), true) = (&mut kept, query.effect != Effect::Repeatable) {
            // A kept connection may be dead without our knowing; what must not run twice is not sent on a guess.
            if !client.answers(within).await {
                kept = None;
            }
        }
        let mut client = match kept {
            Some(client) => client,
            None => timeout(within, KernelClient::connect(&self.files[which]))
                .await
                .ok_or_else(|| not_written("no answer in time".into()))?
                .map_err(|e| not_written(e.to_string()))?,
        };
        self.sent.set(self.sent.get() + 1);
        *interrupter.borrow_mut() = Some(client.interrupter());
        let tried = client.attempt(query, left).await;
        // One whose reply is missing may still get it; it is not used again.
        if !matches!(tried, Err((Stop::PostUnanswered, _))) {
            self.idle.borrow_mut()[which].push(client);
        }
        tried
    }
}
