//! Receives and sends DNS messages for the zone that lists the engines, over UDP and TCP on one port.

use std::cell::RefCell;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Async;
use futures_lite::AsyncReadExt;
use violetward_dns::message::Stream;
use violetward_net::{sleep, timeout};

use crate::host::Host;
use crate::membership::EngineRegistry;
use crate::zone_responder::ZoneResponder;

/// Pause after a socket error, so that a lasting error does not keep the thread busy.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Size of the buffer for datagrams: the maximum size of a UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// The server of one zone, which it shares with the watcher of the zone's file.
pub struct ZoneServer {
    host: Rc<Host>,
    registry: Rc<RefCell<EngineRegistry>>,
    responder: RefCell<ZoneResponder>,
}

impl ZoneServer {
    /// Binds both sockets and starts to answer. Returns the bound address.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub fn start(
        host: Rc<Host>,
        registry: Rc<RefCell<EngineRegistry>>,
        responder: ZoneResponder,
        listen: std::net::SocketAddr,
    ) -> std::io::Result<std::net::SocketAddr> {
        let tcp = Async::<TcpListener>::bind(listen)?;
        let address = tcp.get_ref().local_addr()?;
        let udp = Async::<UdpSocket>::bind(address)?;
        let server = Rc::new(ZoneServer { host: host.clone(), registry, responder: RefCell::new(responder) });
        host.spawn(server.clone().serve_datagrams(udp));
        host.spawn(server.accept_connections(tcp));
        tracing::info!(%address, "serving the zone");
        Ok(address)
    }

    fn handle(&self, bytes: &[u8], stream: bool) -> Vec<Vec<u8>> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let names = &self.host.config.names;
        let mut registry = self.registry.borrow_mut();
        let outcome = self.responder.borrow_mut().handle_message(now, bytes, stream, &mut registry, names);
        if let Some(line) = &outcome.log_line {
            tracing::info!("{line}");
        }
        if outcome.changed {
            let list = registry.engines().clone();
            drop(registry);
            self.host.update_engine_list(&list);
        }
        outcome.answers
    }

    async fn serve_datagrams(self: Rc<Self>, socket: Async<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((size, from)) => {
                    for answer in self.handle(&buffer[..size], false) {
                        socket.send_to(&answer, from).await.ok();
                    }
                }
                Err(_) => sleep(ERROR_PAUSE).await,
            }
        }
    }

    async fn accept_connections(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let server = self.clone();
                    self.host.spawn(async move { server.serve_connection(socket).await });
                }
                Err(_) => sleep(ERROR_PAUSE).await,
            }
        }
    }

    /// Serves one connection until it is closed or has been idle for the request time-out.
    async fn serve_connection(&self, mut socket: Async<TcpStream>) {
        let (mut stream, mut chunk) = (Stream::default(), vec![0; 4096]);
        let idle = self.host.config.host.request_timeout;
        while let Some(Ok(size)) = timeout(idle, socket.read(&mut chunk)).await {
            if size == 0 {
                return;
            }
            stream.feed(&chunk[..size]);
            while let Some(message) = stream.next_message() {
                for answer in self.handle(&message, true) {
                    let Some(framed) = Stream::frame(&answer) else { return };
                    if violetward_net::write_all(&socket, &framed, idle).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
