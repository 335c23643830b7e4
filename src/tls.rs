//! Mutual TLS between nodes. A node's certificate names its host and failure domain; both sides trust
//! only the mesh's own authority, so a node of another mesh is refused in the handshake.

use {
    crate::{
        error::{Error, Result},
        world::{Domain, Host},
    },
    rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, KeyUsagePurpose},
    rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    std::sync::Arc,
    time::OffsetDateTime,
};

/// The name that every node's certificate carries beside its own.
pub const SERVER_NAME: &str = "node.mulberryshelf";
const AUTHORITY_DAYS: i64 = 365;
const BACKDATED_DAYS: i64 = 2;
const NODE_DAYS: i64 = 90;
const SUFFIX: &str = ".mulberryshelf";
const PROTOCOL: &[u8] = b"mulberryshelf/1";

/// A certificate authority for development; in production the operators' own signs the nodes'.
pub struct Authority {
    certificate: String,
    key: String,
}

/// What a node proves itself with.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The mesh's authority, in PEM.
    pub authority: String,
    /// The node's certificate, in PEM.
    pub certificate: String,
    /// The node's private key, in PEM.
    pub key: String,
}

fn unusable(what: &'static str) -> impl Fn(String) -> Error {
    move |message| Error::Certificate { what, message }
}

impl Authority {
    /// Makes a new authority.
    ///
    /// # Errors
    /// Fails if no key can be made.
    pub fn create() -> Result<Self> {
        let fail = |error: rcgen::Error| unusable("authority")(error.to_string());
        let key = KeyPair::generate().map_err(fail)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(fail)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        limit(&mut params, AUTHORITY_DAYS);
        let certificate = params.self_signed(&key).map_err(fail)?;
        Ok(Self {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Takes an authority that was made before.
    #[must_use]
    pub fn from_pem(certificate: String, key: String) -> Self {
        Self { certificate, key }
    }

    /// Gives the certificate, in PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Gives the private key, in PEM.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Signs a new key for a node.
    ///
    /// # Errors
    /// Fails if the authority is unusable.
    pub fn sign(&self, host: &Host, domain: &Domain) -> Result<Identity> {
        let names = vec![SERVER_NAME.into(), format!("{host}.{domain}{SUFFIX}")];
        self.issue(names, NODE_DAYS)
    }

    /// Signs a new key for any names, valid until so many days from now.
    ///
    /// # Errors
    /// Fails if the authority is unusable.
    pub fn issue(&self, names: Vec<String>, days: i64) -> Result<Identity> {
        let fail = |error: rcgen::Error| unusable("authority")(error.to_string());
        let signer = KeyPair::from_pem(&self.key).map_err(fail)?;
        let issuer = Issuer::from_ca_cert_pem(&self.certificate, signer).map_err(fail)?;
        let mut params = CertificateParams::new(names).map_err(fail)?;
        limit(&mut params, days);
        let key = KeyPair::generate().map_err(fail)?;
        let certificate = params.signed_by(&key, &issuer).map_err(fail)?;
        Ok(Identity {
            authority: self.certificate.clone(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

/// Has a certificate hold from before now, as clocks differ, until so many days from now.
fn limit(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - time::Duration::days(BACKDATED_DAYS);
    params.not_after = now + time::Duration::days(days);
}

impl Identity {
    /// Checks that the files fit each other and the host: that the certificate is signed by the
    /// authority, holds now, and names the host and its failure domain.
    ///
    /// # Errors
    /// Names the first that does not fit.
    pub fn check(&self, host: &Host, domain: &Domain) -> Result {
        self.server()?;
        let chain = self.chain()?;
        let (leaf, between) = chain
            .split_first()
            .ok_or_else(|| unusable("certificate")("the file holds none".into()))?;
        let authorities = self.authorities()?;
        let anchors: Vec<_> = authorities
            .iter()
            .filter_map(|authority| webpki::anchor_from_trusted_cert(authority).ok())
            .collect();
        let fail = |error: webpki::Error| unusable("certificate")(error.to_string());
        webpki::EndEntityCert::try_from(leaf)
            .map_err(fail)?
            .verify_for_usage(
                webpki::ALL_VERIFICATION_ALGS,
                &anchors,
                between,
                rustls_pki_types::UnixTime::now(),
                webpki::KeyUsage::client_auth(),
                None,
                None,
            )
            .map_err(fail)?;
        match subject(leaf) {
            Some((named, within)) if named == *host && within == *domain => Ok(()),
            Some((named, within)) => Err(unusable("certificate")(format!(
                "it names {named} in {within}, and the settings {host} in {domain}"
            ))),
            None => Err(unusable("certificate")("it names no host".into())),
        }
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(|error| unusable("certificate")(error.to_string()))
    }

    fn private(&self) -> Result<PrivateKeyDer<'static>> {
        PrivateKeyDer::from_pem_slice(self.key.as_bytes())
            .map_err(|error| unusable("private key")(error.to_string()))
    }

    fn authorities(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.authority.as_bytes())
            .collect::<Result<_, _>>()
            .map_err(|error| unusable("authority")(error.to_string()))
    }

    fn roots(&self) -> Result<Arc<rustls::RootCertStore>> {
        let mut roots = rustls::RootCertStore::empty();
        for certificate in self.authorities()? {
            roots
                .add(certificate)
                .map_err(|error| unusable("authority")(error.to_string()))?;
        }
        Ok(Arc::new(roots))
    }

    /// Gives the configuration for taking connections.
    ///
    /// # Errors
    /// Fails if a certificate or the key is unusable.
    pub fn server(&self) -> Result<quinn::crypto::rustls::QuicServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = rustls::server::WebPkiClientVerifier::builder_with_provider(
            self.roots()?,
            provider.clone(),
        )
        .build()
        .map_err(|error| unusable("authority")(error.to_string()))?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| unusable("certificate")(error.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.private()?)
            .map_err(|error| unusable("certificate")(error.to_string()))?;
        config.alpn_protocols = vec![PROTOCOL.into()];
        config
            .try_into()
            .map_err(|error| unusable("certificate")(format!("{error}")))
    }

    /// Gives the configuration for making connections.
    ///
    /// # Errors
    /// Fails if a certificate or the key is unusable.
    pub fn client(&self) -> Result<quinn::crypto::rustls::QuicClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|error| unusable("certificate")(error.to_string()))?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.private()?)
            .map_err(|error| unusable("certificate")(error.to_string()))?;
        config.alpn_protocols = vec![PROTOCOL.into()];
        config
            .try_into()
            .map_err(|error| unusable("certificate")(format!("{error}")))
    }
}

/// Reads which host and failure domain a verified certificate names.
#[must_use]
pub fn subject(certificate: &CertificateDer) -> Option<(Host, Domain)> {
    let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
    let name = certificate
        .valid_dns_names()
        .find(|name| *name != SERVER_NAME)?;
    let (host, domain) = name.strip_suffix(SUFFIX)?.split_once('.')?;
    Some((host.parse().ok()?, domain.parse().ok()?))
}
