//! The notebook front: a Jupyter kernel over ZMTP on five TCP sockets, on the same core as the statement front. A cell is
//! a statement. Knows nothing of engines.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use violetward_kernel::kernel::{self, CellEnd, Channel, Kernel, Out, Table};
use violetward_kernel::message::Signer;
use violetward_kernel::zmtp::{self, Got, Limits, Reader, Socket};
use violetward_net::{sleep, timeout};
use violetward_session::kind::PROPERTY;
use violetward_statement::carried::Carried;
use violetward_statement::pages::{Page, Turn};
use violetward_statement::results::QueryError;
use violetward_statement::session::Context;

use crate::core::{StatementId, Submission};
use crate::host::Host;

/// Messages that wait for one iopub subscriber; further ones are dropped for it alone.
const MAX_QUEUED_IOPUB: usize = 512;
/// Replies that wait for one client; a client that lets more pile up is cut off.
const MAX_QUEUED_REPLIES: usize = 512;
/// Sessions that carry something from one cell to the next.
const MAX_CARRIED_SESSIONS: usize = 65_536;
/// Signatures remembered against replays.
const MAX_SIGNATURES: usize = 65_536;

pub use crate::terms::KernelConfig;

type Peer = Sender<Vec<u8>>;

/// Prefixes that a subscriber wants, and its way.
type Subscriber = (Vec<Vec<u8>>, Peer);

/// The front: one kernel that any number of clients share.
pub struct Notebook {
    host: Rc<Host>,
    config: KernelConfig,
    kernel: RefCell<Kernel>,
    signer: RefCell<Signer>,
    session: String,
    next: Cell<u64>,
    clients: RefCell<HashMap<u64, Peer>>,
    subscribers: RefCell<HashMap<u64, Subscriber>>,
    runs: RefCell<HashMap<u64, StatementId>>,
    /// What sessions carry, for as long as a connection of theirs lives.
    carried: RefCell<HashMap<String, Carried>>,
    /// Sessions of each connection.
    sessions_of: RefCell<HashMap<u64, HashSet<String>>>,
    /// Counts kernels: cells of one that was shut down end nowhere.
    life: Cell<u64>,
    /// Messages that were dropped for slow subscribers.
    pub dropped: Cell<u64>,
    /// Messages that were not to be believed.
    pub refused: Cell<u64>,
}

impl Notebook {
    /// Binds the five sockets, writes the connection file and starts to answer.
    ///
    /// # Errors
    /// If a socket cannot be bound or the file not be written.
    pub fn start(host: Rc<Host>, ip: IpAddr, config: KernelConfig) -> std::io::Result<Rc<Notebook>> {
        let key: String = rand::random::<[u8; 16]>().iter().map(|b| format!("{b:02x}")).collect();
        let bind = || Async::<TcpListener>::bind((ip, 0));
        let (shell, iopub, stdin, control, hb) = (bind()?, bind()?, bind()?, bind()?, bind()?);
        let port = |l: &Async<TcpListener>| l.get_ref().local_addr().map(|a| a.port());
        let file = json!({
            "transport": "tcp", "ip": ip.to_string(), "key": key, "signature_scheme": "hmac-sha256",
            "shell_port": port(&shell)?, "iopub_port": port(&iopub)?, "stdin_port": port(&stdin)?,
            "control_port": port(&control)?, "hb_port": port(&hb)?, "kernel_name": "violetward",
        });
        write_private(&config.connection_file, &serde_json::to_vec_pretty(&file)?)?;
        let session = format!("{}-{:016x}", host.instance, rand::random::<u64>());
        let notebook = Rc::new(Notebook {
            host: host.clone(),
            config,
            kernel: RefCell::new(Kernel::new()),
            signer: RefCell::new(Signer::new(key.as_bytes(), MAX_SIGNATURES)),
            session,
            next: Cell::new(1),
            clients: RefCell::default(),
            subscribers: RefCell::default(),
            runs: RefCell::default(),
            carried: RefCell::default(),
            sessions_of: RefCell::default(),
            life: Cell::new(0),
            dropped: Cell::new(0),
            refused: Cell::new(0),
        });
        host.spawn(notebook.clone().accept(shell, Socket::Router, Some(Channel::Shell)));
        host.spawn(notebook.clone().accept(control, Socket::Router, Some(Channel::Control)));
        host.spawn(notebook.clone().accept(stdin, Socket::Router, None));
        host.spawn(notebook.clone().accept(iopub, Socket::Pub, None));
        host.spawn(notebook.clone().accept(hb, Socket::Rep, None));
        tracing::info!(file = %notebook.config.connection_file.display(), "taking cells");
        Ok(notebook)
    }

    async fn accept(self: Rc<Self>, listener: Async<TcpListener>, socket: Socket, channel: Option<Channel>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let notebook = self.clone();
                    let n = self.next.replace(self.next.get() + 1);
                    self.host.spawn(async move {
                        if let Err(why) = notebook.serve(n, stream, socket, channel).await {
                            tracing::debug!("a notebook client was cut off: {why}");
                        }
                        notebook.clients.borrow_mut().remove(&n);
                        notebook.subscribers.borrow_mut().remove(&n);
                        notebook.left(n);
                    });
                }
                Err(_) => sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    }

    /// One connection, to its end.
    async fn serve(
        self: &Rc<Self>,
        n: u64,
        stream: Async<TcpStream>,
        socket: Socket,
        channel: Option<Channel>,
    ) -> Result<(), String> {
        stream.get_ref().set_nodelay(true).ok();
        let (sender, outgoing) = async_channel::bounded(MAX_QUEUED_REPLIES.max(MAX_QUEUED_IOPUB));
        sender.try_send([zmtp::greeting(), zmtp::ready(socket)].concat()).ok();
        let stream = Rc::new(stream);
        future::or(
            write(stream.clone(), outgoing, self.host.config.host.stream_idle),
            self.read(n, stream, socket, channel, sender),
        )
        .await
    }

    async fn read(
        self: &Rc<Self>,
        n: u64,
        stream: Rc<Async<TcpStream>>,
        socket: Socket,
        channel: Option<Channel>,
        sender: Peer,
    ) -> Result<(), String> {
        let mut reader = Reader::new(socket, Limits::default());
        let mut chunk = vec![0; 16 << 10];
        let mut ready = false;
        loop {
            let within = self.host.config.host.request_within;
            let read = async { (&*stream).read(&mut chunk).await };
            // The handshake is bounded in time; after it a peer may be silent for as long as it likes.
            let read = if ready { Some(read.await) } else { timeout(within, read).await };
            let size = read.ok_or("no handshake in time")?.map_err(|e| e.to_string())?;
            if size == 0 {
                return Ok(());
            }
            reader.feed(&chunk[..size]);
            while let Some(got) = reader.next().map_err(|e| e.to_string())? {
                match got {
                    Got::Ready(_) => {
                        ready = true;
                        if channel.is_some() {
                            self.clients.borrow_mut().insert(n, sender.clone());
                        }
                        if socket == Socket::Pub {
                            self.subscribers.borrow_mut().insert(n, (Vec::new(), sender.clone()));
                        }
                    }
                    Got::Message(parts) if socket == Socket::Rep => {
                        sender.try_send(zmtp::message(&parts)).map_err(|_| "heartbeats pile up")?;
                    }
                    Got::Message(parts) => {
                        if let Some(channel) = channel {
                            self.request(n, channel, &parts);
                        }
                    }
                    Got::Subscribe(way, prefix) => {
                        if let Some((prefixes, _)) = self.subscribers.borrow_mut().get_mut(&n) {
                            match way {
                                true if prefixes.len() < 64 => prefixes.push(prefix),
                                true => return Err("too many subscriptions".into()),
                                false => {
                                    if let Some(at) = prefixes.iter().position(|p| *p == prefix) {
                                        prefixes.remove(at);
                                    }
                                }
                            }
                        }
                    }
                    Got::Ping(context) => {
                        sender.try_send(zmtp::pong(&context)).map_err(|_| "pings pile up")?;
                    }
                }
            }
        }
    }

    fn request(self: &Rc<Self>, n: u64, channel: Channel, parts: &[Vec<u8>]) {
        let message = self.signer.borrow_mut().read(parts);
        match message {
            Ok(mut message) => {
                if channel == Channel::Shell && message.header.msg_type == "execute_request" {
                    let session = message.header.session.clone();
                    self.sessions_of.borrow_mut().entry(n).or_default().insert(session);
                }
                // The way back begins with the connection.
                message.identities.insert(0, n.to_be_bytes().to_vec());
                let out = self.kernel.borrow_mut().handle(channel, message);
                self.carry_out(out);
            }
            Err(why) => {
                self.refused.set(self.refused.get() + 1);
                tracing::warn!("a notebook message is dropped: {why}");
            }
        }
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Reply { identities, parent, kind, content, .. } => {
                    let Some((n, way)) = identities.split_first() else { continue };
                    let n = u64::from_be_bytes(n.as_slice().try_into().unwrap_or_default());
                    let bytes = zmtp::message(&self.write(way, &parent, kind, &content));
                    let full = self.clients.borrow().get(&n).is_some_and(|c| c.try_send(bytes).is_err());
                    if full {
                        // It does not read its replies: without its sender its connection ends.
                        if let Some(client) = self.clients.borrow_mut().remove(&n) {
                            client.close();
                        }
                    }
                }
                Out::Publish { parent, kind, content } => self.publish(&parent, kind, &content),
                Out::Run { run, session, code, terms } => self.run(run, session, code, &terms),
                Out::Stop(run) => {
                    if let Some(&id) = self.runs.borrow().get(&run) {
                        self.host.with_core(|core, now| core.cancel(now, id));
                    }
                }
                Out::Shutdown => {
                    // The kernel's state ends; the gateway stays, and a new kernel takes its place.
                    self.life.set(self.life.get() + 1);
                    let all: Vec<String> = self.carried.borrow().keys().cloned().collect();
                    all.iter().for_each(|session| self.let_go(session));
                    *self.kernel.borrow_mut() = Kernel::new();
                }
            }
        }
    }

    fn write(&self, way: &[Vec<u8>], parent: &Value, kind: &str, content: &Value) -> Vec<Vec<u8>> {
        let n = self.next.replace(self.next.get() + 1);
        let header =
            kernel::header(format!("{}-{n}", self.session), &self.session, kind, self.host.iso_timestamp());
        self.signer.borrow().write(way, &header, parent, content)
    }

    fn publish(&self, parent: &Value, kind: &str, content: &Value) {
        // Led by the session that asked, so that a client of a busy kernel can subscribe to what is its own.
        let asked = parent["session"].as_str().unwrap_or_default();
        let topic = format!("{asked}.kernel.{}.{kind}", self.session).into_bytes();
        let bytes = zmtp::message(&self.write(std::slice::from_ref(&topic), parent, kind, content));
        for (prefixes, peer) in self.subscribers.borrow().values() {
            let wanted = prefixes.iter().any(|p| topic.starts_with(p));
            if wanted && peer.try_send(bytes.clone()).is_err() {
                self.dropped.set(self.dropped.get() + 1);
            }
        }
    }

    /// A cell is a statement like any other.
    fn run(self: &Rc<Self>, run: u64, session: String, code: String, terms: &Value) {
        let public_id = self.host.next_public_id();
        let mut context = self.context(terms);
        self.carried.borrow().get(&session).cloned().unwrap_or_default().put(&mut context);
        let id =
            self.host.with_core(|core, now| core.submit(now, Submission { public_id, text: code, context }));
        self.runs.borrow_mut().insert(run, id);
        let (notebook, life) = (self.clone(), self.life.get());
        self.host.spawn(async move {
            let end = notebook.collect(id, &session).await;
            notebook.runs.borrow_mut().remove(&run);
            if notebook.life.get() == life {
                let out = notebook.kernel.borrow_mut().ended(run, end);
                notebook.carry_out(out);
            }
        });
    }

    /// What a cell's metadata says, as the headers of the statement front would.
    fn context(&self, terms: &Value) -> Context {
        let millis = |name: &str| terms[name].as_u64().map(std::time::Duration::from_millis);
        let tags = terms["tags"].as_array().into_iter().flatten().filter_map(Value::as_str);
        let session = millis("max_run_millis")
            .map(|d| ("query_max_run_time".to_owned(), format!("{}ms", d.as_millis())));
        Context {
            user: self.config.user.clone(),
            source: "kernel".into(),
            tags: tags.take(64).map(str::to_owned).collect(),
            session: session.into_iter().collect(),
            trace_token: terms["trace"].as_str().map(str::to_owned),
            estimated_cpu: millis("cpu_millis"),
            estimated_memory: terms["memory_bytes"].as_u64(),
            ..Context::default()
        }
    }

    /// Keeps what an answer says of the session for its next cell.
    fn carry(&self, session: &str, changes: &[(String, String)]) {
        if changes.is_empty() {
            return;
        }
        let mut all = self.carried.borrow_mut();
        if all.len() >= MAX_CARRIED_SESSIONS && !all.contains_key(session) {
            tracing::warn!("too many sessions carry something; one of a notebook is forgotten");
            return;
        }
        let carried = all.entry(session.to_owned()).or_default();
        changes.iter().for_each(|(name, value)| carried.take(name, value));
        if carried.is_empty() {
            all.remove(session);
        }
    }

    /// A connection has ended: sessions without another one end with it.
    fn left(&self, n: u64) {
        let Some(sessions) = self.sessions_of.borrow_mut().remove(&n) else { return };
        for session in sessions {
            if !self.sessions_of.borrow().values().any(|s| s.contains(&session)) {
                self.let_go(&session);
            }
        }
    }

    fn let_go(&self, session: &str) {
        let Some(carried) = self.carried.borrow_mut().remove(session) else { return };
        let property = carried.session.iter().find(|(n, _)| n == PROPERTY).map(|(_, v)| v.as_str());
        let tokens: Vec<&str> = carried.transaction.as_deref().into_iter().chain(property).collect();
        self.host.with_core(|core, now| core.release_sessions(now, &self.config.user, &tokens));
    }

    /// Takes the pages of a statement to its end.
    async fn collect(&self, id: StatementId, session: &str) -> CellEnd {
        let mut table = Table::default();
        let mut token = 0;
        self.host.with_core(|core, now| core.set_waiting(now, id, true));
        let end = loop {
            let heard = self.host.subscribe(id);
            match self.host.with_core(|core, now| core.page(now, id, token, true)) {
                Turn::Page(page) => {
                    add(&mut table, &page, self.config.rows);
                    token += 1;
                    if let Some(end) = &page.end {
                        self.carry(session, &page.session);
                        break end.error().map_or(CellEnd::Table(table), cell_error);
                    }
                }
                Turn::Wait => heard.await,
                Turn::Gone | Turn::Unknown => break lost(),
            }
        };
        self.host.with_core(|core, now| core.set_waiting(now, id, false));
        self.host.unsubscribe(id);
        end
    }
}

async fn write(
    stream: Rc<Async<TcpStream>>,
    outgoing: Receiver<Vec<u8>>,
    within: std::time::Duration,
) -> Result<(), String> {
    while let Ok(bytes) = outgoing.recv().await {
        let sent = timeout(within, async { (&*stream).write_all(&bytes).await }).await;
        sent.ok_or("it does not read")?.map_err(|e| e.to_string())?;
    }
    Err("it let its replies pile up".into())
}

fn add(table: &mut Table, page: &Page, most: usize) {
    if let (true, Some(columns)) = (table.columns.is_empty(), &page.columns) {
        let columns: Vec<Value> = serde_json::from_str(columns.get()).unwrap_or_default();
        table.columns = columns.iter().map(|c| c["name"].as_str().unwrap_or_default().to_owned()).collect();
    }
    if let Some(data) = &page.data {
        let rows: Vec<Vec<Value>> = serde_json::from_str(data.get()).unwrap_or_default();
        let room = most.saturating_sub(table.rows.len());
        table.hidden += rows.len().saturating_sub(room);
        table.rows.extend(rows.into_iter().take(room));
    }
    if let Some((word, count)) = &page.update {
        table.update = Some(count.map_or_else(|| word.clone(), |n| format!("{word}: {n} rows")));
    }
}

fn cell_error(error: &QueryError) -> CellEnd {
    let info = error.failure_info.as_deref();
    CellEnd::Error {
        name: error.error_name.clone(),
        text: error.message.clone(),
        harmless: info.and_then(|i| i.retry_is_harmless),
        retry_after: info.and_then(|i| i.retry_after_millis),
    }
}

fn lost() -> CellEnd {
    let error = QueryError::failed(violetward_statement::results::FAILED, "its end is no longer known");
    cell_error(&error)
}

/// Writes a file that only its owner can read: it holds the key.
fn write_private(path: &std::path::Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let fresh = path.with_extension("new");
    std::fs::remove_file(&fresh).ok();
    let mut file = std::fs::File::options().write(true).create_new(true).mode(0o600).open(&fresh)?;
    file.write_all(bytes)?;
    std::fs::rename(&fresh, path)
}
