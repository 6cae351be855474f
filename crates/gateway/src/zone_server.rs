//! Moves DNS messages for the zone that lists the engines: UDP and TCP on one port.

use std::cell::RefCell;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use violetward_dns::message::Stream;
use violetward_net::{sleep, timeout};

use crate::host::Host;
use crate::membership::EngineRegistry;
use crate::zone_updates::ZoneUpdates;

/// The front: one zone, shared with the watcher of its file.
pub struct ZoneServer {
    host: Rc<Host>,
    registry: Rc<RefCell<EngineRegistry>>,
    updates: RefCell<ZoneUpdates>,
}

impl ZoneServer {
    /// Binds both sockets and starts to answer; gives the port.
    ///
    /// # Errors
    /// If a socket cannot be bound.
    pub fn start(
        host: Rc<Host>,
        registry: Rc<RefCell<EngineRegistry>>,
        updates: ZoneUpdates,
        listen: std::net::SocketAddr,
    ) -> std::io::Result<std::net::SocketAddr> {
        let tcp = Async::<TcpListener>::bind(listen)?;
        let address = tcp.get_ref().local_addr()?;
        let udp = Async::<UdpSocket>::bind(address)?;
        let front = Rc::new(ZoneServer { host: host.clone(), registry, updates: RefCell::new(updates) });
        host.spawn(front.clone().datagrams(udp));
        host.spawn(front.streams(tcp));
        tracing::info!(%address, "serving the zone");
        Ok(address)
    }

    fn handle(&self, bytes: &[u8], stream: bool) -> Vec<Vec<u8>> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let names = &self.host.config.names;
        let mut registry = self.registry.borrow_mut();
        let outcome = self.updates.borrow_mut().handle_message(now, bytes, stream, &mut registry, names);
        if let Some(said) = &outcome.log_line {
            tracing::info!("{said}");
        }
        if outcome.changed {
            let list = registry.engines().clone();
            drop(registry);
            self.host.update_engine_list(&list);
        }
        outcome.answers
    }

    async fn datagrams(self: Rc<Self>, socket: Async<UdpSocket>) {
        let mut buffer = vec![0; 65_535];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((size, from)) => {
                    for answer in self.handle(&buffer[..size], false) {
                        socket.send_to(&answer, from).await.ok();
                    }
                }
                Err(_) => sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    }

    async fn streams(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let front = self.clone();
                    self.host.spawn(async move { front.serve(socket).await });
                }
                Err(_) => sleep(std::time::Duration::from_millis(20)).await,
            }
        }
    }

    /// One connection: messages until it is closed or idle for long.
    async fn serve(&self, mut socket: Async<TcpStream>) {
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
                    if !matches!(timeout(idle, socket.write_all(&framed)).await, Some(Ok(()))) {
                        return;
                    }
                }
            }
        }
    }
}
