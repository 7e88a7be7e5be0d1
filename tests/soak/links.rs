//! Links between the instances: a proxy in front of each instance, which loses or delays what certain others send.

use {
    rand::Rng,
    std::{
        cell::RefCell,
        collections::HashMap,
        io,
        net::{Ipv4Addr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// Maximum size of a datagram.
const DATAGRAM_BYTES: usize = 65_536;

/// What becomes of the datagrams of a link in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Link {
    /// Share that is lost; 1 if the link is cut.
    pub(crate) loss: f64,
    pub(crate) delay: Duration,
}

/// Links that are not sound, by the positions of the sender and the receiver.
#[derive(Default)]
pub(crate) struct Links {
    faults: RefCell<HashMap<(usize, usize), Link>>,
    /// Positions of the instances by the address from which they send.
    senders: RefCell<HashMap<SocketAddr, usize>>,
}

impl Links {
    /// Sets or ends the fault of a link in one direction.
    pub(crate) fn set(&self, from: usize, to: usize, link: Option<Link>) {
        let mut faults = self.faults.borrow_mut();
        match link {
            Some(link) => _ = faults.insert((from, to), link),
            None => _ = faults.remove(&(from, to)),
        }
    }

    /// Starts the proxy in front of the instance at a position; returns its address.
    pub(crate) async fn start_proxy(self: &Rc<Links>, to: usize, target: SocketAddr) -> SocketAddr {
        self.senders.borrow_mut().insert(target, to);
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let socket = Rc::new(socket);
        let address = socket.local_addr().expect("the socket is bound");
        tokio::task::spawn_local(self.clone().forward(to, target, socket));
        address
    }

    /// Carries datagrams to an instance. Each sender has a socket of its own, over which the responses return.
    async fn forward(self: Rc<Links>, to: usize, target: SocketAddr, socket: Rc<UdpSocket>) {
        let mut upstream = HashMap::<SocketAddr, Rc<UdpSocket>>::new();
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
            let from = self.senders.borrow().get(&source).copied();
            let own = match upstream.get(&source) {
                Some(own) => own.clone(),
                None => {
                    let own = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
                    own.connect(target).await.expect("a loopback address");
                    let own = Rc::new(own);
                    upstream.insert(source, own.clone());
                    let back =
                        self.clone().carry_back(own.clone(), socket.clone(), source, from, to);
                    tokio::task::spawn_local(back);
                    own
                }
            };
            let data = buffer[..length].to_vec();
            self.pass(from.map(|from| (from, to)), async move { own.send(&data).await });
        }
    }

    async fn carry_back(
        self: Rc<Links>,
        own: Rc<UdpSocket>,
        socket: Rc<UdpSocket>,
        source: SocketAddr,
        source_index: Option<usize>,
        from: usize,
    ) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            // The instance may be down, which a later datagram shows again.
            let Ok(length) = own.recv(&mut buffer).await else {
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            let (socket, data) = (socket.clone(), buffer[..length].to_vec());
            self.pass(source_index.map(|to| (from, to)), async move {
                socket.send_to(&data, source).await
            });
        }
    }

    /// Sends a datagram as the state of its link requires.
    fn pass(
        &self,
        link: Option<(usize, usize)>,
        send: impl Future<Output = io::Result<usize>> + 'static,
    ) {
        let link = link.and_then(|link| self.faults.borrow().get(&link).copied());
        let Link { loss, delay } = link.unwrap_or_default();
        if loss > 0.0 && rand::rng().random_bool(loss) {
            return;
        }
        tokio::task::spawn_local(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            // A datagram that cannot be sent is lost.
            _ = send.await;
        });
    }
}
