//! TCP proxy that simulates network faults: it delays or withholds bytes and resets connections.

use {
    crate::plan::Weather,
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
};

/// Interval at which withheld bytes check whether they can be sent.
const WITHHELD_POLL_INTERVAL: Duration = Duration::from_millis(20);

struct State {
    reset: Notify,
    weather: Cell<Weather>,
}

/// Running proxy.
#[derive(Clone)]
pub struct Proxy {
    state: Rc<State>,
}

impl Proxy {
    /// Starts a proxy that accepts connections at `address` and relays each to a connection to `target`.
    ///
    /// # Errors
    /// Returns an error if `address` can't be listened on, such as when its port is taken.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = Rc::new(State {
            reset: Notify::new(),
            weather: Cell::new(Weather::Clear),
        });
        let relay_state = state.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(relay(relay_state.clone(), stream, target));
            }
        });
        Ok(Self { state })
    }

    /// Sets the state of the network from now on, for open connections too.
    pub fn set(&self, weather: Weather) {
        self.state.weather.set(weather);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

async fn relay(state: Rc<State>, client: TcpStream, target: SocketAddr) {
    // If the target refuses, the client only sees that its connection closes.
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::select! {
        () = state.reset.notified() => {}
        () = copy(&state, client_reader, server_writer, Weather::SilentIn) => {}
        () = copy(&state, server_reader, client_writer, Weather::SilentOut) => {}
    }
}

async fn copy(
    state: &State,
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    withholding: Weather,
) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length @ 1..) = reader.read(&mut bytes).await {
        if let Weather::Delay(time) = state.weather.get() {
            tokio::time::sleep(time).await;
        }
        while state.weather.get() == withholding {
            tokio::time::sleep(WITHHELD_POLL_INTERVAL).await;
        }
        if writer.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
