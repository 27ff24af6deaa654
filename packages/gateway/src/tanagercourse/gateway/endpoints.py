"""The small calls that an instance answers besides requests."""

from collections.abc import Awaitable, Callable, Mapping

from tanagercourse.gateway.messages import CallerRequest, Response

# Answers a GET of one path, given the whole target.
Endpoint = Callable[[bytes], Response]


def make_path_handler(
    endpoints: Mapping[bytes, Endpoint],
) -> Callable[[CallerRequest], Awaitable[Response]]:
    """Return what answers requests by their exact path.

    Args:
        endpoints: What answers each path.
    """

    async def respond(request: CallerRequest) -> Response:
        endpoint = endpoints.get(request.target.split(b"?", 1)[0])
        if endpoint is None:
            return Response(404, b"Not Found", (), b"")
        if request.method != b"GET":
            return Response(405, b"Method Not Allowed", ((b"Allow", b"GET"),), b"")
        return endpoint(request.target)

    return respond


def empty_response(status: int) -> Response:
    """Return an answer without a body."""
    reason = b"OK" if status == 200 else b"Service Unavailable"
    return Response(status, reason, (), b"")


def json_response(body: bytes) -> Response:
    """Return a 200 with a JSON body."""
    return Response(200, b"OK", ((b"Content-Type", b"application/json"),), body)


def text_response(body: bytes) -> Response:
    """Return a 200 with a text body."""
    return Response(
        200, b"OK", ((b"Content-Type", b"text/plain; version=0.0.4"),), body
    )
