"""HTTP/1.1 clients and servers, and the Avro codec of the peer protocol.

Owns communication between processes: connections and their reuse, the framing of requests and
responses, compression, and the encoding of messages in batches. Decisions about members, servers
and retries at other servers are made elsewhere. May import `zincvale.model` only.

Reading order:

- `codec`: Avro encoding of messages and batches, with schemas derived from the message classes.
- `compression`: gzip of large bodies.
- `peer`: the interface of calls between daemons; `peer_client` implements it over HTTP, and
  `peer_server` serves it.
- `server_exchange`: a request to a server and the listener of its response; then
  `response_reader` (parsing), `server_connection` (one connection), `server_client` (the pool of
  connections) and `complete_exchange` (waiting for a complete response).
- `curl_exchange`, `curl_handle`, `curl_sockets`, `curl_client`: the client of the native request
  path, based on libcurl.

There are two clients because their users need different guarantees. `ServerClient` implements
HTTP/1.1 itself, preserves the order and spelling of headers, and checks that a response belongs to
the request; forwarding and the peer protocol use it. `CurlClient` checks immediately before sending
whether the request may still be sent (`may_send`), which the claims of the native request path
need.
"""
