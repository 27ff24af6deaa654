"""Encode the response to a caller's request in parts."""

from collections.abc import Iterator

import h11

from tanagercourse.gateway.caller_stream import READ_BYTES
from tanagercourse.gateway.connections import split_body
from tanagercourse.gateway.messages import Response, drop_connection_headers


def encode_response(
    parser: h11.Connection, response: Response, method: bytes, closes: bool
) -> Iterator[bytes]:
    """Encode a response, a long body in parts, so that it is not copied as a whole.

    Args:
        parser: The parser that read the request.
        response: The response.
        method: Method of the request.
        closes: Whether the response announces the end of the connection.
    """
    has_body = response.status not in (204, 304) and method != b"HEAD"
    headers = list(drop_connection_headers(response.headers))
    if has_body:
        headers.append((b"Content-Length", str(len(response.body)).encode()))
    if closes:
        headers.append((b"Connection", b"close"))
    head = h11.Response(
        status_code=response.status, reason=response.reason, headers=headers
    )
    encoded = bytearray(parser.send(head) or b"")
    if parser.our_state is h11.SWITCHED_PROTOCOL:
        # After a successful CONNECT, a body would be bytes of the tunnel.
        yield bytes(encoded)
        return
    for part in split_body(response.body if has_body else b""):
        encoded += parser.send(h11.Data(data=part)) or b""
        if len(encoded) >= READ_BYTES:
            yield bytes(encoded)
            encoded.clear()
    encoded += parser.send(h11.EndOfMessage()) or b""
    yield bytes(encoded)
