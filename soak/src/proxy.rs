//! A proxy on the loopback network that delays, silences and resets connections.

use {
    crate::plan::Weather,
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Notify,
    },
};

/// How often held bytes look whether they may go on.
const HELD_PERIOD: Duration = Duration::from_millis(20);

struct State {
    reset: Notify,
    weather: Cell<Weather>,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    state: Rc<State>,
}

impl Proxy {
    /// Passes on what comes in at one address to another one.
    ///
    /// # Errors
    /// Fails if the port is taken.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = Rc::new(State {
            reset: Notify::new(),
            weather: Cell::new(Weather::Clear),
        });
        let accepting = state.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(pass(accepting.clone(), stream, target));
            }
        });
        Ok(Self { state })
    }

    /// Sets what happens to bytes from now on.
    pub fn set(&self, weather: Weather) {
        self.state.weather.set(weather);
    }

    /// Ends all connections.
    pub fn reset(&self) {
        self.state.reset.notify_waiters();
    }
}

async fn pass(state: Rc<State>, near: TcpStream, target: SocketAddr) {
    // A target that refuses is told to whoever connects by the end of its connection.
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    tokio::select! {
        () = state.reset.notified() => {}
        () = copy(&state, near_reader, far_writer, Weather::SilentIn) => {}
        () = copy(&state, far_reader, near_writer, Weather::SilentOut) => {}
    }
}

async fn copy(
    state: &State,
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    silent: Weather,
) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(length @ 1..) = reader.read(&mut bytes).await {
        if let Weather::Delay(time) = state.weather.get() {
            tokio::time::sleep(time).await;
        }
        while state.weather.get() == silent {
            tokio::time::sleep(HELD_PERIOD).await;
        }
        if writer.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
