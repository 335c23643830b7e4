//! QUIC connections between nodes. Frames of the control traffic are sent on unidirectional
//! streams, requests on bidirectional ones. The module makes no decisions about what arrives, but
//! reports it as an event.

use {
    crate::{
        error::{Error, Result},
        peer::Peer,
        telemetry::Telemetry,
        tls::{self, Identity},
        types::Host,
        wire::{self, Frame},
    },
    quinn::{Connection, Endpoint, RecvStream, SendStream, TransportConfig, VarInt},
    rustls_pki_types::CertificateDer,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedSender,
};

const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

// quinn allocates state for every stream that a peer may open as soon as the peer connects, so
// these limits bound that state. See docs/design/measurements.md.
const FRAME_STREAMS_MAX: u32 = 64;
const REQUEST_STREAMS_MAX: u32 = 256;

/// What a link reports to its node.
#[derive(Debug)]
pub enum Event {
    /// A node has connected, or an existing connection to it was dialled again.
    Connected(Host),
    /// The connection to a node has been lost.
    Disconnected(Host),
    /// A node sent a frame.
    Received(Host, Frame),
    /// A node opened a stream for a request.
    Requested(Host, SendStream, RecvStream),
}

/// A node's QUIC endpoint.
#[derive(Clone)]
pub struct Link {
    inner: Arc<Inner>,
}

struct Inner {
    connections: Mutex<HashMap<Host, Connection>>,
    dialed: Mutex<HashMap<SocketAddr, (Host, Connection)>>,
    endpoint: Endpoint,
    events: UnboundedSender<Event>,
    telemetry: Telemetry,
}

impl Link {
    /// Binds the endpoint and starts accepting connections.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or the identity is unusable.
    pub fn bind(
        address: SocketAddr,
        identity: &Identity,
        telemetry: Telemetry,
        events: UnboundedSender<Event>,
    ) -> Result<Self> {
        let transport = Arc::new(transport_config());
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server.transport_config(transport.clone());
        let mut client = quinn::ClientConfig::new(Arc::new(identity.client_config()?));
        client.transport_config(transport);
        let mut endpoint =
            Endpoint::server(server, address).map_err(|source| Error::Bind { address, source })?;
        endpoint.set_default_client_config(client);
        let link = Self {
            inner: Arc::new(Inner {
                connections: Mutex::default(),
                dialed: Mutex::default(),
                endpoint,
                events,
                telemetry,
            }),
        };
        tokio::spawn(link.clone().accept());
        Ok(link)
    }

    /// Returns the address that was bound.
    ///
    /// # Errors
    /// Returns an error if the socket has been closed.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// Connects to a node. If a connection to this address is already open, it is reported as
    /// connected again and returned, so that repeated calls open no more than one.
    ///
    /// # Errors
    /// Returns an error if the node cannot be reached or does not belong to this mesh.
    pub async fn connect(&self, address: SocketAddr) -> Result<(Host, Connection)> {
        if let Some((host, connection)) = self.dialed_connection(address) {
            self.report(Event::Connected(host.clone()));
            return Ok((host, connection));
        }
        let fail = |message: String| {
            self.inner.telemetry.count("link.connect.failed");
            Error::Peer {
                step: "connect to",
                peer: address.to_string(),
                message,
            }
        };
        let connecting = self
            .inner
            .endpoint
            .connect(address, tls::SERVER_NAME)
            .map_err(|error| fail(error.to_string()))?;
        let connection = connecting.await.map_err(|error| fail(error.to_string()))?;
        let host = self
            .register(connection.clone())
            .ok_or_else(|| fail("its certificate names no host".into()))?;
        self.dialed()
            .insert(address, (host.clone(), connection.clone()));
        Ok((host, connection))
    }

    fn dialed_connection(&self, address: SocketAddr) -> Option<(Host, Connection)> {
        let mut dialed = self.dialed();
        dialed.retain(|_, (_, connection)| connection.close_reason().is_none());
        dialed.get(&address).cloned()
    }

    /// Returns the open connection to a host, or connects to it at `address`.
    ///
    /// # Errors
    /// Returns an error if the host cannot be reached or another host has this address.
    pub async fn get_or_connect(&self, host: &Host, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) = self.active_connection(host) {
            return Ok(connection);
        }
        let (found, connection) = self.connect(address).await?;
        if found == *host {
            return Ok(connection);
        }
        Err(Error::Peer {
            step: "connect to",
            peer: host.to_string(),
            message: format!("the node at {address} is {found}"),
        })
    }

    /// Sends a frame to a connected host in the background. Failures are only counted.
    pub fn send(&self, host: &Host, frame: &Frame) {
        let telemetry = self.inner.telemetry.clone();
        let (Some(connection), Ok(bytes)) = (self.active_connection(host), wire::encode(frame))
        else {
            telemetry.count("link.send.unconnected");
            return;
        };
        tokio::spawn(async move {
            telemetry.add("link.sent.bytes", bytes.len() as u64);
            if write_frame(&connection, &bytes).await.is_err() {
                telemetry.count("link.send.failed");
            }
        });
    }

    /// Closes all connections and waits until the endpoint is idle.
    pub async fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"stopping");
        self.inner.endpoint.wait_idle().await;
    }

    fn active_connection(&self, host: &Host) -> Option<Connection> {
        self.connections()
            .get(host)
            .filter(|connection| connection.close_reason().is_none())
            .cloned()
    }

    fn dialed(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, (Host, Connection)>> {
        self.inner
            .dialed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, HashMap<Host, Connection>> {
        self.inner
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self) {
        while let Some(incoming) = self.inner.endpoint.accept().await {
            let link = self.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => {
                        link.register(connection);
                    }
                    Err(_) => link.inner.telemetry.count("link.accept.refused"),
                }
            });
        }
    }

    fn register(&self, connection: Connection) -> Option<Host> {
        let Some(peer) = peer_of(&connection) else {
            self.inner.telemetry.count("link.accept.unnamed");
            connection.close(VarInt::from_u32(1), b"the certificate names no host");
            return None;
        };
        let host = peer.host.clone();
        self.connections().insert(host.clone(), connection.clone());
        self.report(Event::Connected(host.clone()));
        tokio::spawn(self.clone().receive_frames(peer, connection.clone()));
        tokio::spawn(self.clone().receive_requests(host.clone(), connection));
        Some(host)
    }

    fn report(&self, event: Event) {
        // Sending fails only while the node stops and has dropped the receiver.
        let _ = self.inner.events.send(event);
    }

    async fn receive_frames(self, peer: Peer, connection: Connection) {
        let host = peer.host.clone();
        while let Ok(mut stream) = connection.accept_uni().await {
            let link = self.clone();
            let (peer, connection) = (peer.clone(), connection.clone());
            tokio::spawn(async move {
                let Ok(bytes) = stream.read_to_end(wire::FRAME_BYTES_MAX).await else {
                    return link.inner.telemetry.count("link.frame.cut");
                };
                link.inner
                    .telemetry
                    .add("link.received.bytes", bytes.len() as u64);
                match wire::decode(&bytes) {
                    Ok(frame) if peer.may_send(&frame) => {
                        link.report(Event::Received(peer.host, frame));
                    }
                    Ok(_) => {
                        link.inner.telemetry.count("link.frame.impostor");
                        connection.close(VarInt::from_u32(2), b"a frame speaks for another host");
                    }
                    Err(_) => link.inner.telemetry.count("link.frame.malformed"),
                }
            });
        }
        self.unregister(&host, &connection);
    }

    fn unregister(&self, host: &Host, connection: &Connection) {
        let mut connections = self.connections();
        let is_current = connections
            .get(host)
            .is_some_and(|held| held.stable_id() == connection.stable_id());
        if is_current {
            connections.remove(host);
            drop(connections);
            self.report(Event::Disconnected(host.clone()));
        }
    }

    async fn receive_requests(self, host: Host, connection: Connection) {
        while let Ok((send, recv)) = connection.accept_bi().await {
            self.report(Event::Requested(host.clone(), send, recv));
        }
    }
}

async fn write_frame(connection: &Connection, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    stream.finish()?;
    Ok(())
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(
            IDLE_TIMEOUT
                .try_into()
                .unwrap_or(VarInt::from_u32(6_000).into()),
        ))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(REQUEST_STREAMS_MAX))
        .max_concurrent_uni_streams(VarInt::from_u32(FRAME_STREAMS_MAX))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    transport
}

fn peer_of(connection: &Connection) -> Option<Peer> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    let (host, domain) = tls::certified_host(chain.first()?)?;
    Some(Peer { domain, host })
}
