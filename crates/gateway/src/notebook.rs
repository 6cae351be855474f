//! The notebook front: a Jupyter kernel over ZMTP on five TCP sockets, on the same core as the statement
//! front. A cell is a statement. It has no knowledge of engines.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use event_listener::Event;
use futures_lite::{future, AsyncReadExt};
use serde_json::{json, Value};
use violetward_kernel::kernel::{self, CellEnd, Channel, Kernel, Out, Table};
use violetward_kernel::message::Signer;
use violetward_kernel::zmtp::{self, Got, Limits, Reader, Socket};
use violetward_net::{sleep, timeout, InputMeter};
use violetward_session::kind::PROPERTY;
use violetward_statement::carried::Carried;
use violetward_statement::pages::{Page, Turn};
use violetward_statement::results::QueryError;
use violetward_statement::session::Context;

use crate::core::{StatementId, Submission};
use crate::host::Host;
use crate::unfinished::UnfinishedRequest;

/// Maximum number of messages queued for an iopub subscriber; further ones are dropped for this subscriber.
const MAX_QUEUED_IOPUB: usize = 512;
/// Number of messages queued for a connection from which on no more of its messages are read.
const MAX_QUEUED_REPLIES: usize = 512;
/// Maximum number of notebook sessions that carry state from one cell to the next.
const MAX_CARRIED_SESSIONS: usize = 65_536;
/// Maximum number of subscriptions of a connection.
const MAX_SUBSCRIPTIONS: usize = 64;
/// Maximum number of tags taken from a cell's metadata.
const MAX_TAGS: usize = 64;
/// Size of the buffer for reading from a connection.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY: std::time::Duration = std::time::Duration::from_millis(20);
/// Maximum number of signatures remembered to detect replays.
const MAX_SIGNATURES: usize = 65_536;

pub use crate::terms::KernelConfig;

/// The outgoing queue of a connection.
type Peer = Sender<Vec<u8>>;

/// The topic prefixes and the outgoing queue of an iopub subscriber.
type Subscriber = (Vec<Vec<u8>>, Peer);

/// The notebook front: one kernel shared by any number of clients.
pub struct Notebook {
    host: Rc<Host>,
    config: KernelConfig,
    kernel: RefCell<Kernel>,
    signer: RefCell<Signer>,
    /// Session id of the kernel's own messages.
    session: String,
    /// Number of the next connection or message.
    next_number: Cell<u64>,
    /// Outgoing queues of the request sockets' connections.
    clients: RefCell<HashMap<u64, Peer>>,
    subscribers: RefCell<HashMap<u64, Subscriber>>,
    /// Statements of the running cells.
    runs: RefCell<HashMap<u64, StatementId>>,
    /// State carried from cell to cell, by notebook session, as long as a connection of the session lives.
    carried: RefCell<HashMap<String, Carried>>,
    /// Notebook sessions of each connection.
    sessions_of: RefCell<HashMap<u64, HashSet<String>>>,
    /// Number of kernels shut down; results for cells of an earlier kernel are discarded.
    kernels_shut_down: Cell<u64>,
    /// Messages dropped for slow subscribers.
    pub dropped: Cell<u64>,
    /// Messages rejected because they could not be authenticated or parsed.
    pub refused: Cell<u64>,
}

impl Notebook {
    /// Binds the five sockets, writes the connection file and starts to serve.
    ///
    /// # Errors
    ///
    /// If a socket cannot be bound or the file cannot be written.
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
            next_number: Cell::new(1),
            clients: RefCell::default(),
            subscribers: RefCell::default(),
            runs: RefCell::default(),
            carried: RefCell::default(),
            sessions_of: RefCell::default(),
            kernels_shut_down: Cell::new(0),
            dropped: Cell::new(0),
            refused: Cell::new(0),
        });
        host.spawn(notebook.clone().accept(shell, Socket::Router, Some(Channel::Shell)));
        host.spawn(notebook.clone().accept(control, Socket::Router, Some(Channel::Control)));
        host.spawn(notebook.clone().accept(stdin, Socket::Router, None));
        host.spawn(notebook.clone().accept(iopub, Socket::Pub, None));
        host.spawn(notebook.clone().accept(hb, Socket::Rep, None));
        tracing::info!(file = %notebook.config.connection_file.display(), "accepting notebook cells");
        Ok(notebook)
    }

    /// Accepts connections of one socket. Never returns.
    async fn accept(self: Rc<Self>, listener: Async<TcpListener>, socket: Socket, channel: Option<Channel>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let notebook = self.clone();
                    let connection = self.next_number.replace(self.next_number.get() + 1);
                    self.host.spawn(async move {
                        if let Err(why) = notebook.serve(connection, stream, socket, channel).await {
                            tracing::debug!("notebook client disconnected: {why}");
                        }
                        notebook.clients.borrow_mut().remove(&connection);
                        notebook.subscribers.borrow_mut().remove(&connection);
                        notebook.connection_ended(connection);
                    });
                }
                Err(_) => sleep(ACCEPT_RETRY).await,
            }
        }
    }

    /// Serves one connection until it ends.
    async fn serve(
        self: &Rc<Self>,
        connection: u64,
        stream: Async<TcpStream>,
        socket: Socket,
        channel: Option<Channel>,
    ) -> Result<(), String> {
        violetward_net::set_stream_options(stream.get_ref());
        // The number of queued messages does not tell whether the client reads; the writer does. A client
        // whose replies pile up is not read from, so that the queue is bounded by the cells that are open.
        let (sender, outgoing) = async_channel::unbounded();
        sender.try_send([zmtp::greeting(), zmtp::ready(socket)].concat()).ok();
        let (stream, written) = (Rc::new(stream), Event::new());
        let unfinished = self.host.unfinished.register();
        let shed = async {
            unfinished.shed().await;
            Err("memory is short, and its message was not whole".to_owned())
        };
        let served = future::or(
            write(&stream, outgoing, self.host.config.host.stream_idle_timeout, &written),
            self.read(connection, &stream, socket, channel, (sender, &written), &unfinished),
        );
        future::or(shed, served).await
    }

    /// Reads and handles the messages of a connection until it ends.
    async fn read(
        self: &Rc<Self>,
        connection: u64,
        stream: &Async<TcpStream>,
        socket: Socket,
        channel: Option<Channel>,
        (sender, written): (Peer, &Event),
        unfinished: &UnfinishedRequest,
    ) -> Result<(), String> {
        let mut reader = Reader::new(socket, Limits::default());
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        let mut ready = false;
        loop {
            wait_for_room(&sender, written).await;
            while !unfinished.has_room() {
                future::yield_now().await;
            }
            let within = self.host.config.host.request_timeout;
            let read = async { (&mut &*stream).read(&mut chunk).await };
            // The handshake is limited in time; after it, a peer may stay silent.
            let read = if ready { Some(read.await) } else { timeout(within, read).await };
            let size = read.ok_or("no handshake in time")?.map_err(|e| e.to_string())?;
            if size == 0 {
                return Ok(());
            }
            reader.feed(&chunk[..size]);
            unfinished.note(reader.allocated_bytes());
            while let Some(got) = reader.next().map_err(|e| e.to_string())? {
                match got {
                    Got::Ready(_) => {
                        ready = true;
                        if channel.is_some() {
                            self.clients.borrow_mut().insert(connection, sender.clone());
                        }
                        if socket == Socket::Pub {
                            self.subscribers.borrow_mut().insert(connection, (Vec::new(), sender.clone()));
                        }
                    }
                    Got::Message(parts) if socket == Socket::Rep => {
                        sender.try_send(zmtp::message(&parts)).ok();
                    }
                    Got::Message(parts) => {
                        if channel.is_some_and(|channel| self.request(connection, channel, &parts)) {
                            unfinished.note_request();
                        }
                    }
                    Got::Subscribe(subscribes, prefix) => {
                        if let Some((prefixes, _)) = self.subscribers.borrow_mut().get_mut(&connection) {
                            match subscribes {
                                true if prefixes.len() < MAX_SUBSCRIPTIONS => prefixes.push(prefix),
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
                        sender.try_send(zmtp::pong(&context)).ok();
                    }
                }
            }
            unfinished.note(reader.allocated_bytes());
            // Reading does not wait while the peer sends: others must get their turns.
            future::yield_now().await;
        }
    }

    /// Handles a message of a request socket; false if it is rejected.
    fn request(self: &Rc<Self>, connection: u64, channel: Channel, parts: &[Vec<u8>]) -> bool {
        let message = self.signer.borrow_mut().read(parts);
        match message {
            Ok(mut message) => {
                if channel == Channel::Shell && message.header.msg_type == "execute_request" {
                    let session = message.header.session.clone();
                    self.sessions_of.borrow_mut().entry(connection).or_default().insert(session);
                }
                // The first identity names the connection, so that the reply finds its way back.
                message.identities.insert(0, connection.to_be_bytes().to_vec());
                let outputs = self.kernel.borrow_mut().handle(channel, message);
                self.apply_outputs(outputs);
                true
            }
            Err(why) => {
                self.refused.set(self.refused.get() + 1);
                tracing::warn!("notebook message rejected: {why}");
                false
            }
        }
    }

    /// Carries out what the kernel asks for.
    fn apply_outputs(self: &Rc<Self>, outputs: Vec<Out>) {
        for output in outputs {
            match output {
                Out::Reply { identities, parent, kind, content, .. } => {
                    let Some((connection, return_path)) = identities.split_first() else { continue };
                    let connection = u64::from_be_bytes(connection.as_slice().try_into().unwrap_or_default());
                    let bytes = zmtp::message(&self.write(return_path, &parent, kind, &content));
                    if let Some(client) = self.clients.borrow().get(&connection) {
                        // Fails only if the connection is about to end.
                        client.try_send(bytes).ok();
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
                    // The state of the kernel is dropped, and a new kernel takes its place; the gateway keeps
                    // running.
                    self.kernels_shut_down.set(self.kernels_shut_down.get() + 1);
                    let sessions: Vec<String> = self.carried.borrow().keys().cloned().collect();
                    sessions.iter().for_each(|session| self.end_session(session));
                    *self.kernel.borrow_mut() = Kernel::new();
                }
            }
        }
    }

    /// Signs and encodes a message.
    fn write(&self, identities: &[Vec<u8>], parent: &Value, kind: &str, content: &Value) -> Vec<Vec<u8>> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let header = kernel::header(
            format!("{}-{number}", self.session),
            &self.session,
            kind,
            self.host.iso_timestamp(),
        );
        self.signer.borrow().write(identities, &header, parent, content)
    }

    /// Sends a message to the iopub subscribers that want it.
    fn publish(&self, parent: &Value, kind: &str, content: &Value) {
        // The topic starts with the requesting session, so that a client of a busy kernel can subscribe to
        // its own messages.
        let session = parent["session"].as_str().unwrap_or_default();
        let topic = format!("{session}.kernel.{}.{kind}", self.session).into_bytes();
        let bytes = zmtp::message(&self.write(std::slice::from_ref(&topic), parent, kind, content));
        for (prefixes, peer) in self.subscribers.borrow().values() {
            let wanted = prefixes.iter().any(|p| topic.starts_with(p));
            if wanted && (peer.len() >= MAX_QUEUED_IOPUB || peer.try_send(bytes.clone()).is_err()) {
                self.dropped.set(self.dropped.get() + 1);
            }
        }
    }

    /// Runs a cell as a statement.
    fn run(self: &Rc<Self>, run: u64, session: String, code: String, terms: &Value) {
        let public_id = self.host.next_public_id();
        let mut context = self.context(terms);
        self.carried.borrow().get(&session).cloned().unwrap_or_default().put(&mut context);
        let id =
            self.host.with_core(|core, now| core.submit(now, Submission { public_id, text: code, context }));
        self.runs.borrow_mut().insert(run, id);
        let (notebook, kernels_shut_down) = (self.clone(), self.kernels_shut_down.get());
        self.host.spawn(async move {
            let end = notebook.collect(id, &session).await;
            notebook.runs.borrow_mut().remove(&run);
            if notebook.kernels_shut_down.get() == kernels_shut_down {
                let outputs = notebook.kernel.borrow_mut().ended(run, end);
                notebook.apply_outputs(outputs);
            }
        });
    }

    /// The context of a cell's metadata, like that of the headers of the statement front.
    fn context(&self, terms: &Value) -> Context {
        let millis = |name: &str| terms[name].as_u64().map(std::time::Duration::from_millis);
        let tags = terms["tags"].as_array().into_iter().flatten().filter_map(Value::as_str);
        let session = millis("max_run_millis")
            .map(|d| ("query_max_run_time".to_owned(), format!("{}ms", d.as_millis())));
        Context {
            user: self.config.user.clone(),
            source: "kernel".into(),
            tags: tags.take(MAX_TAGS).map(str::to_owned).collect(),
            session: session.into_iter().collect(),
            trace_token: terms["trace"].as_str().map(str::to_owned),
            estimated_cpu: millis("cpu_millis"),
            estimated_memory: terms["memory_bytes"].as_u64(),
            ..Context::default()
        }
    }

    /// Applies the session changes of an answer to the state carried to the session's next cell.
    fn carry_changes(&self, session: &str, changes: &[(String, String)]) {
        if changes.is_empty() {
            return;
        }
        let mut carried_by_session = self.carried.borrow_mut();
        if carried_by_session.len() >= MAX_CARRIED_SESSIONS && !carried_by_session.contains_key(session) {
            tracing::warn!("too many notebook sessions carry state; the state of one is dropped");
            return;
        }
        let carried = carried_by_session.entry(session.to_owned()).or_default();
        changes.iter().for_each(|(name, value)| carried.take(name, value));
        if carried.is_empty() {
            carried_by_session.remove(session);
        }
    }

    /// Ends the notebook sessions that have no other connection.
    fn connection_ended(&self, connection: u64) {
        let Some(sessions) = self.sessions_of.borrow_mut().remove(&connection) else { return };
        for session in sessions {
            if !self.sessions_of.borrow().values().any(|s| s.contains(&session)) {
                self.end_session(&session);
            }
        }
    }

    /// Ends a notebook session and releases what it holds on engines.
    fn end_session(&self, session: &str) {
        let Some(carried) = self.carried.borrow_mut().remove(session) else { return };
        let property = carried.session.iter().find(|(n, _)| n == PROPERTY).map(|(_, v)| v.as_str());
        let tokens: Vec<&str> = carried.transaction.as_deref().into_iter().chain(property).collect();
        self.host.with_core(|core, now| core.release_sessions(now, &self.config.user, &tokens));
    }

    /// Fetches the pages of a statement to its end.
    async fn collect(&self, id: StatementId, session: &str) -> CellEnd {
        let mut table = Table::default();
        let mut token = 0;
        self.host.with_core(|core, now| core.set_waiting(now, id, true));
        let end = loop {
            let changed = self.host.subscribe(id);
            match self.host.with_core(|core, now| core.page(now, id, token, true)) {
                Turn::Page(page) => {
                    add_page(&mut table, &page, self.config.max_rows);
                    token += 1;
                    if let Some(end) = &page.end {
                        self.carry_changes(session, &page.session);
                        break end.error().map_or(CellEnd::Table(table), cell_error);
                    }
                }
                Turn::Wait => changed.await,
                Turn::Gone | Turn::Unknown => break unknown_ending(),
            }
        };
        self.host.with_core(|core, now| core.set_waiting(now, id, false));
        self.host.unsubscribe(id);
        end
    }
}

/// Writes queued messages to the connection until it ends, and notifies `written` after each.
async fn write(
    stream: &Async<TcpStream>,
    outgoing: Receiver<Vec<u8>>,
    max_stall: std::time::Duration,
    written: &Event,
) -> Result<(), String> {
    while let Ok(bytes) = outgoing.recv().await {
        violetward_net::write_all(stream, &bytes, max_stall).await.map_err(|e| e.to_string())?;
        written.notify(1);
    }
    Ok(())
}

/// Waits until few enough messages are queued for a connection to read from it again.
async fn wait_for_room(queue: &Peer, written: &Event) {
    loop {
        let message_written = written.listen();
        if queue.len() < MAX_QUEUED_REPLIES {
            return;
        }
        message_written.await;
    }
}

/// Adds a page to a cell's table, which keeps at most `max_rows` rows.
fn add_page(table: &mut Table, page: &Page, max_rows: usize) {
    if let (true, Some(columns)) = (table.columns.is_empty(), &page.columns) {
        let columns: Vec<Value> = serde_json::from_str(columns.get()).unwrap_or_default();
        table.columns = columns.iter().map(|c| c["name"].as_str().unwrap_or_default().to_owned()).collect();
    }
    if let Some(data) = &page.data {
        let rows: Vec<Vec<Value>> = serde_json::from_str(data.get()).unwrap_or_default();
        let room = max_rows.saturating_sub(table.rows.len());
        table.hidden += rows.len().saturating_sub(room);
        table.rows.extend(rows.into_iter().take(room));
    }
    if let Some((update_type, count)) = &page.update {
        table.update =
            Some(count.map_or_else(|| update_type.clone(), |n| format!("{update_type}: {n} rows")));
    }
}

/// The end of a cell whose statement failed.
fn cell_error(error: &QueryError) -> CellEnd {
    let info = error.failure_info.as_deref();
    CellEnd::Error {
        name: error.error_name.clone(),
        text: error.message.clone(),
        harmless: info.and_then(|i| i.retry_is_harmless),
        retry_after: info.and_then(|i| i.retry_after_millis),
    }
}

/// The end of a cell whose statement is not known any more.
fn unknown_ending() -> CellEnd {
    let error = QueryError::failed(violetward_statement::results::FAILED, "its end is no longer known");
    cell_error(&error)
}

/// Writes a file that only its owner can read, because it contains the key.
fn write_private(path: &std::path::Path, bytes: &[u8]) -> std::io::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let temporary = path.with_extension("new");
    std::fs::remove_file(&temporary).ok();
    let mut file = std::fs::File::options().write(true).create_new(true).mode(0o600).open(&temporary)?;
    file.write_all(bytes)?;
    std::fs::rename(&temporary, path)
}
