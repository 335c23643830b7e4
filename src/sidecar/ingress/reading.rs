//! Reads one request of a caller, within the limits of the document, its deadline and the memory for requests.

use {
    super::{Connection, Item, handler},
    crate::{
        http1::{self, Error, Framing, Reader, Request, SEGMENT_BYTES},
        sidecar::{
            body_budget::{OVERHEAD_BYTES, Reservation},
            body_room,
            document::Limits,
            node::Core,
            settings::RECEIVE_BUFFER_BYTES_MAX,
        },
        types::Moment,
    },
    socket2::SockRef,
    tokio::{net::tcp::OwnedReadHalf, sync::mpsc, time::timeout},
};

/// Reading of one request, whose memory is taken from the budget as it arrives.
pub(super) struct Reading<'a> {
    pub(super) arrived: Moment,
    pub(super) connection: &'a Connection,
    pub(super) core: &'a Core,
    pub(super) limits: Limits,
    pub(super) responses: &'a mpsc::Sender<Item>,
    pub(super) room: &'a mut Reservation,
}

impl Reading<'_> {
    /// Reads the request. Its body has to arrive until its deadline: later it could not be served.
    pub(super) async fn read(
        mut self,
        reader: &mut Reader<OwnedReadHalf>,
    ) -> Result<Request, Error> {
        let body_bytes_max = self.core.body_budget.request_bytes_max() - OVERHEAD_BYTES;
        let limits = http1::Limits {
            body_bytes: self.limits.body_bytes.min(body_bytes_max),
            head_bytes: self.limits.head_bytes as usize,
            read_timeout: self.limits.head_timeout,
        };
        if !self.reserve(0).await {
            return Err(Error::NoRoom(OVERHEAD_BYTES));
        }
        let head = reader
            .read_request_head(limits, async |bytes| self.reserve(bytes).await)
            .await?;
        if let Framing::Length(length @ 1..) = head.framing
            && length <= limits.body_bytes
            && !body_room::wait_for_room(self.core, self.room, OVERHEAD_BYTES + length).await
        {
            return Err(Error::NoRoom(length));
        }
        let time_left = if head.framing == Framing::Length(0) {
            limits.read_timeout
        } else {
            let limit = handler::time_limit(self.core, &head.fields, &head.target);
            (self.arrived + limit).since(self.core.now())
        };
        let responses = self.responses;
        let send_continue = async || {
            let broken_pipe = |_| std::io::ErrorKind::BrokenPipe.into();
            responses.send(Item::Continue).await.map_err(broken_pipe)
        };
        let is_long = match head.framing {
            Framing::Length(length) => length > SEGMENT_BYTES as u64,
            Framing::Chunked => true,
            Framing::UntilClose => false,
        };
        if is_long {
            set_receive_buffer(reader, RECEIVE_BUFFER_BYTES_MAX);
        }
        let reserve = async |bytes| self.reserve(bytes).await;
        let reading = reader.read_request_body(&head, limits, reserve, send_continue);
        let body = timeout(time_left, reading).await;
        if is_long {
            set_receive_buffer(reader, self.core.settings.borrow().receive_buffer_bytes());
        }
        Ok(head.into_request(body.map_err(|_| Error::Timeout)??))
    }

    /// Takes memory for the request, besides what each request takes, in bytes. Returns whether there is room.
    async fn reserve(&mut self, bytes: u64) -> bool {
        let bytes = OVERHEAD_BYTES + bytes;
        self.connection.open.grow_request(self.core.now(), bytes);
        body_room::reserve(self.core, self.room, bytes).await
    }
}

/// Sets the size of the system's buffer for what a caller sends. A body that has room is received faster with a larger one.
fn set_receive_buffer(reader: &Reader<OwnedReadHalf>, bytes: usize) {
    // With another size the body is received more slowly, or more of it is held than counted.
    let _ = SockRef::from(reader.get_ref().as_ref()).set_recv_buffer_size(bytes);
}
