//! Mutual TLS between nodes. The certificate of a node names its host and failure domain. Both sides
//! trust only the certificate authority of the mesh, so the handshake with a node of another mesh fails.

use {
    crate::{
        error::{Error, Result},
        types::{Domain, Host},
    },
    rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::sync::Arc,
    time::OffsetDateTime,
};

/// A DNS name in the certificate of every node, in addition to the name of its host.
pub const SERVER_NAME: &str = "node.mulberryshelf";
/// How long the certificate of a new authority is valid.
const AUTHORITY_VALIDITY_DAYS: i64 = 365;
/// How long before its issue a certificate becomes valid, because clocks differ between hosts.
const BACKDATED_DAYS: i64 = 2;
/// How long the certificate of a node is valid.
const NODE_VALIDITY_DAYS: i64 = 90;
/// The end of the DNS name `HOST.DOMAIN.mulberryshelf` in the certificate of a node.
const NAME_SUFFIX: &str = ".mulberryshelf";
/// The ALPN protocol of connections between nodes.
const ALPN_PROTOCOL: &[u8] = b"mulberryshelf/1";

/// A certificate authority for development. In production the operators' own authority signs the
/// certificates of the nodes.
pub struct Authority {
    certificate: String,
    key: String,
}

/// The certificates and key by which a node authenticates itself and its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The certificate of the mesh's authority, in PEM.
    pub authority: String,
    /// The certificate of the node, in PEM; intermediate certificates may follow it.
    pub certificate: String,
    /// The private key of the node, in PEM.
    pub key: String,
}

/// Returns a function that makes an error for an unusable certificate or key from a message.
fn certificate_error(what: &'static str) -> impl Fn(String) -> Error {
    move |message| Error::Certificate { what, message }
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    ///
    /// # Errors
    /// Fails if the key cannot be generated or the certificate cannot be signed.
    pub fn generate() -> Result<Self> {
        let to_error = |error: rcgen::Error| certificate_error("authority")(error.to_string());
        let key = KeyPair::generate().map_err(to_error)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(to_error)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        set_validity(&mut params, AUTHORITY_VALIDITY_DAYS);
        let certificate = params.self_signed(&key).map_err(to_error)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Creates an authority from an existing certificate and private key in PEM. They are not checked
    /// until a certificate is signed.
    #[must_use]
    pub fn from_pem(certificate: String, key: String) -> Self {
        Self { certificate, key }
    }

    /// Returns the certificate in PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the private key in PEM.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Generates a key for a node and signs a certificate for its host and failure domain.
    ///
    /// # Errors
    /// Fails if the certificate or key of the authority is unusable.
    pub fn issue_node_identity(&self, host: &Host, domain: &Domain) -> Result<Identity> {
        let names = vec![SERVER_NAME.into(), format!("{host}.{domain}{NAME_SUFFIX}")];
        self.issue_identity(names, NODE_VALIDITY_DAYS)
    }

    /// Generates a key and signs a certificate for these DNS names that is valid for `days` from now. A
    /// negative number gives an expired certificate.
    ///
    /// # Errors
    /// Fails if the certificate or key of the authority is unusable, or a name is invalid.
    pub fn issue_identity(&self, names: Vec<String>, days: i64) -> Result<Identity> {
        let to_error = |error: rcgen::Error| certificate_error("authority")(error.to_string());
        let authority_key = KeyPair::from_pem(&self.key).map_err(to_error)?;
        let issuer =
            Issuer::from_ca_cert_pem(&self.certificate, authority_key).map_err(to_error)?;
        let mut params = CertificateParams::new(names).map_err(to_error)?;
        set_validity(&mut params, days);
        let key = KeyPair::generate().map_err(to_error)?;
        let certificate = params.signed_by(&key, &issuer).map_err(to_error)?;
        Ok(Identity {
            authority: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

/// Sets the validity of a certificate from [`BACKDATED_DAYS`] before now to `days` from now.
fn set_validity(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - time::Duration::days(BACKDATED_DAYS);
    params.not_after = now + time::Duration::days(days);
}

impl Identity {
    /// Checks that the key is usable, and that the certificate is signed by the authority, is valid now
    /// and names this host and failure domain.
    ///
    /// # Errors
    /// Fails with the first mismatch.
    pub fn verify(&self, host: &Host, domain: &Domain) -> Result {
        self.server_config()?;
        let chain = self.chain()?;
        let (leaf, intermediates) = chain.split_first().ok_or_else(|| {
            certificate_error("certificate")("the file contains no certificate".into())
        })?;
        let authorities = self.authorities()?;
        let anchors: Vec<_> = authorities
            .iter()
            .filter_map(|authority| webpki::anchor_from_trusted_cert(authority).ok())
            .collect();
        let to_error = |error: webpki::Error| certificate_error("certificate")(error.to_string());
        webpki::EndEntityCert::try_from(leaf)
            .map_err(to_error)?
            .verify_for_usage(
                webpki::ALL_VERIFICATION_ALGS,
                &anchors,
                intermediates,
                rustls_pki_types::UnixTime::now(),
                webpki::KeyUsage::client_auth(),
                None,
                None,
            )
            .map_err(to_error)?;
        match certified_host(leaf) {
            Some((named, named_domain)) if named == *host && named_domain == *domain => Ok(()),
            Some((named, named_domain)) => Err(certificate_error("certificate")(format!(
                "it names {named} in {named_domain}, but the settings name {host} in {domain}"
            ))),
            None => Err(certificate_error("certificate")("it names no host".into())),
        }
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(|error| certificate_error("certificate")(error.to_string()))
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>> {
        PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .map_err(|error| certificate_error("private key")(error.to_string()))
    }

    fn authorities(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.authority.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(|error| certificate_error("authority")(error.to_string()))
    }

    fn root_store(&self) -> Result<Arc<rustls::RootCertStore>> {
        let mut root_store = rustls::RootCertStore::empty();
        for certificate in self.authorities()? {
            root_store
                .add(certificate)
                .map_err(|error| certificate_error("authority")(error.to_string()))?;
        }
        Ok(Arc::new(root_store))
    }

    /// Returns the TLS configuration for accepting QUIC connections.
    ///
    /// # Errors
    /// Fails if a certificate or the key is unusable.
    pub fn server_config(&self) -> Result<quinn::crypto::rustls::QuicServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            self.root_store()?,
            provider.clone(),
        )
        .build()
        .map_err(|error| certificate_error("authority")(error.to_string()))?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| certificate_error("certificate")(error.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private_key()?)
            .map_err(|error| certificate_error("certificate")(error.to_string()))?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.into()];
        config
            .try_into()
            .map_err(|error| certificate_error("certificate")(format!("{error}")))
    }

    /// Returns the TLS configuration for opening QUIC connections.
    ///
    /// # Errors
    /// Fails if a certificate or the key is unusable.
    pub fn client_config(&self) -> Result<quinn::crypto::rustls::QuicClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| certificate_error("certificate")(error.to_string()))?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(self.chain()?, self.private_key()?)
            .map_err(|error| certificate_error("certificate")(error.to_string()))?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.into()];
        config
            .try_into()
            .map_err(|error| certificate_error("certificate")(format!("{error}")))
    }
}

/// Returns the host and failure domain that a verified certificate names. `None` if it names none.
#[must_use]
pub fn certified_host(certificate: &CertificateDer) -> Option<(Host, Domain)> {
    let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
    let name = certificate
        .valid_dns_names()
        .find(|name| *name != SERVER_NAME)?;
    let (host, domain) = name.strip_suffix(NAME_SUFFIX)?.split_once('.')?;
    Some((host.parse().ok()?, domain.parse().ok()?))
}
