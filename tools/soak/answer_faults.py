"""Faulty answers of upstreams: an answer that comes twice, or one that makes no progress, or one without an end."""

import asyncio

from http_messages import format_response
from upstream import COMMENT, expected_body

FAULT_SECONDS = 6
LATE_ANSWER_SECONDS = 0.2


def _stream_head(headers):
    lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers.items()] + ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _repeat(upstream, request, writer, data, interval):
    """Writes the bytes again and again until the gateway closes the connection, and then gives up."""
    upstream.checker.broken_off.add(request.header("redwingseam-attempt-id"))
    deadline = asyncio.get_running_loop().time() + FAULT_SECONDS
    while not writer.transport.is_closing() and asyncio.get_running_loop().time() < deadline:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(interval)
    writer.transport.abort()


async def late_second_answer(upstream, request, headers, writer):
    """Answers, and a little later writes the same answer again on the same connection."""
    attempt = request.header("redwingseam-attempt-id")
    if "/stream/" in request.target:
        upstream.checker.broken_off.add(attempt)
        writer.write(format_response(500, headers, b"failed"))
        return await writer.drain()
    answer = format_response(200, headers, expected_body(attempt))
    writer.write(answer)
    await asyncio.sleep(upstream.random.choice([0, upstream.random.uniform(0, LATE_ANSWER_SECONDS)]))
    writer.write(answer[:upstream.random.choice([1, 20, len(answer)])])
    await writer.drain()


async def trickle(upstream, request, headers, writer):
    """Begins a stream and then sends comments only, or sends the body of a plain answer byte by byte."""
    attempt = request.header("redwingseam-attempt-id")
    if "/stream/" not in request.target:
        writer.write(format_response(200, headers, expected_body(attempt))[:-100])
        return await _repeat(upstream, request, writer, b"x", 1)
    writer.write(_stream_head(headers))
    first = int(request.header("last-event-id", "0")) + 1
    for number in range(first, first + 3):
        writer.write(_chunk(upstream.event(request.body, number)))
    await _repeat(upstream, request, writer, _chunk(COMMENT), 0.2)


async def endless_head(upstream, request, headers, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Endless: ")
    await _repeat(upstream, request, writer, upstream.random.choice([b"x" * 4096, b"x\r\nX-More: y" * 300, b"\r\n\r\nHTTP/1.1 100 Continue" * 100]), 0.005)


async def endless_body(upstream, request, headers, writer):
    if "/stream/" in request.target:
        writer.write(_stream_head(headers))
        return await _repeat(upstream, request, writer, _chunk(b"data: " + b"x" * 4096), 0.005)
    writer.write(_stream_head(headers).replace(b"text/event-stream", b"text/plain"))
    await _repeat(upstream, request, writer, _chunk(b"x" * 16384), 0.005)


ANSWER_FAULTS = [late_second_answer, late_second_answer, trickle, endless_head, endless_body]
