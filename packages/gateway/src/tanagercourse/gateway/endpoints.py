"""Responses to an instance's own endpoints, such as metrics and readiness."""

from collections.abc import Awaitable, Callable, Mapping

from tanagercourse.gateway.messages import CallerRequest, Response

# Handles GET requests for one path; receives the request target.
EndpointHandler = Callable[[bytes], Response]


def make_path_handler(
    endpoints: Mapping[bytes, EndpointHandler],
) -> Callable[[CallerRequest], Awaitable[Response]]:
    """Return a request handler that dispatches on the exact path.

    Args:
        endpoints: Handler of each path.
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
    """Return a response without a body, with status 200 or 503."""
    reason = b"OK" if status == 200 else b"Service Unavailable"
    return Response(status, reason, (), b"")


def json_response(body: bytes) -> Response:
    """Return a response with status 200 and a JSON body."""
    return Response(200, b"OK", ((b"Content-Type", b"application/json"),), body)


def text_response(body: bytes) -> Response:
    """Return a response with status 200 and a body in the Prometheus text format."""
    return Response(
        200, b"OK", ((b"Content-Type", b"text/plain; version=0.0.4"),), body
    )
