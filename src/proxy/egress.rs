//! Where a request leaves the mesh: the node beside the upstream hands it over and streams the answer
//! back.

use {
    super::{Proxy, headers, parts, pool::Connection},
    crate::{
        body::{Body, Writer},
        member::Offer,
        refusal::Reason,
        wire::{Answer, Failure, Part, Request as Head},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming},
    quinn::{RecvStream, SendStream},
    std::time::Duration,
};

const DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one request that another node passed on.
pub async fn serve(proxy: Proxy, mut send: SendStream, mut recv: RecvStream) {
    let Ok(Part::Request(head)) = parts::read(&mut recv).await else {
        return proxy.telemetry.count("egress.malformed");
    };
    let budget = Duration::from_micros(head.budget);
    let stopped = send.stopped();
    let ended = tokio::select! {
        ended = tokio::time::timeout(budget, run(&proxy, head, &mut send, recv)) => ended,
        _ = stopped => return proxy.telemetry.count("egress.cancelled"),
    };
    let failure = match ended {
        Ok(Ok(())) => return delivered(&send).await,
        Ok(Err(failure)) => failure,
        Err(_) => Failure::Unknown(Reason::Deadline),
    };
    proxy.telemetry.count("egress.failed");
    // A node that has gone is told nothing.
    let _ = parts::write(&mut send, &Part::Failure(failure)).await;
    let _ = send.finish();
    delivered(&send).await;
}

/// Waits until the other node has the whole answer, so that a planned stop cuts nothing off.
async fn delivered(send: &SendStream) {
    // A node that has gone, or takes too long, is not waited for.
    let _ = tokio::time::timeout(DELIVERY_TIMEOUT, send.stopped()).await;
}

async fn run(
    proxy: &Proxy,
    head: Head,
    send: &mut SendStream,
    recv: RecvStream,
) -> Result<(), Failure> {
    let offer = proxy.offered().ok_or(Failure::NotRun(Reason::Leaving))?;
    if offer.version != head.version || offer.service != head.service {
        return Err(Failure::NotRun(Reason::WrongVersion));
    }
    let mut connection = proxy
        .pool
        .take(offer.address)
        .await
        .map_err(|_| Failure::NotRun(Reason::Dial))?;
    let id = head.id.clone();
    let response = exchange(&mut connection, head, recv).await?;
    answer(id, response, send).await?;
    keep(proxy, &offer, connection).await;
    Ok(())
}

async fn keep(proxy: &Proxy, offer: &Offer, mut connection: Connection) {
    if connection.ready().await.is_ok() {
        proxy.pool.put(offer.address, connection);
    }
}

async fn exchange(
    connection: &mut Connection,
    head: Head,
    recv: RecvStream,
) -> Result<Response<Incoming>, Failure> {
    let (writer, body) = Body::channel();
    let mut request = Request::new(body);
    let malformed = Failure::NotRun(Reason::BadRequest);
    *request.method_mut() = head.method.parse().map_err(|_| malformed)?;
    *request.uri_mut() = head.target.parse().map_err(|_| malformed)?;
    *request.headers_mut() = headers::decode(&head.headers);
    if let Ok(value) = head.id.parse() {
        request.headers_mut().insert(headers::ID, value);
    }
    tokio::spawn(upload(recv, writer));
    match connection.try_send_request(request).await {
        Ok(response) => Ok(response),
        Err(error) if error.message().is_some() => Err(Failure::NotRun(Reason::Dial)),
        Err(_) => Err(Failure::Unknown(Reason::Lost)),
    }
}

/// Copies a request's body from a node to the upstream; one that breaks off is cut short there too.
async fn upload(mut recv: RecvStream, writer: Writer) {
    loop {
        match parts::read(&mut recv).await {
            Ok(Part::Chunk(chunk)) => {
                if !writer.push(Bytes::from(chunk)).await {
                    return;
                }
            }
            Ok(Part::End(trailers)) => return writer.finish(headers::decode(&trailers)).await,
            _ => return,
        }
    }
}

async fn answer(
    id: String,
    response: Response<Incoming>,
    send: &mut SendStream,
) -> Result<(), Failure> {
    let lost = |_| Failure::Unknown(Reason::Lost);
    let (parts, mut body) = response.into_parts();
    let head = Answer {
        headers: headers::encode(&parts.headers),
        id,
        status: parts.status.as_u16(),
    };
    parts::write(send, &Part::Answer(head))
        .await
        .map_err(lost)?;
    let mut trailers = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Unknown(Reason::Lost))?;
        match frame.into_data() {
            Ok(data) => {
                for chunk in data.chunks(crate::wire::PART_MAX / 2) {
                    parts::write(send, &Part::Chunk(chunk.into()))
                        .await
                        .map_err(lost)?;
                }
            }
            Err(frame) => {
                trailers = frame
                    .trailers_ref()
                    .map(headers::encode)
                    .unwrap_or_default();
            }
        }
    }
    parts::write(send, &Part::End(trailers))
        .await
        .map_err(lost)?;
    let _ = send.finish();
    Ok(())
}
