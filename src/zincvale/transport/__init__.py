"""HTTP/1.1 clients and servers, and the Avro codec of the internal protocol.

Owns the bytes between processes: connections and their reuse, the framing of requests and
responses, compression, and the encoding of messages in batches. It decides nothing about members,
servers or retries beyond one connection. May import `zincvale.model` only.

Reading order:

- `codec`: messages and batches as Avro; schemas follow from the message classes.
- `compression`: gzip of large bodies.
- `peer`: the interface of calls between daemons; `peer_client` and `peer_server` implement it.
- `server_exchange`: a request to a server and the listener of its response; then
  `response_reader` (parsing), `server_connection` (one connection), `server_client` (the pool of
  connections) and `complete_exchange` (a response that is read to its end).
- `curl_exchange`, `curl_handle`, `curl_sockets`, `curl_client`: the client of the native request
  path, on libcurl.

There are two clients because they differ in what they need to prove. `ServerClient` speaks
HTTP/1.1 itself, keeps the headers' order and spelling, and checks that a response is the request's
own; forwarding and the peer protocol use it. `CurlClient` knows at the moment of sending whether
the request may still be sent (`may_send`), which the claims of the native request path need.
"""
