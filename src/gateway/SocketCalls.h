#pragma once

#include "base/FileDescriptor.h"
#include "gateway/ReadStatus.h"
#include "http/SocketAddress.h"
#include "redwingseam/base/Instant.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace redwingseam::gateway {

// Starts a non-blocking connect. Returns a closed socket if it fails immediately; `base::isScarcity` tells from the value of
// errno whether the process lacks the resources for it.
base::FileDescriptor startConnect(const http::SocketAddress&);
// Fails the connection if the peer has not acknowledged what is sent after `limit`, counted from its first retransmission.
// The limit also holds for what a closed or killed process has left to be sent.
void limitDelivery(int descriptor, base::Duration limit);
// Returns how many of the bytes that were sent the peer has not acknowledged.
size_t undeliveredBytes(int descriptor);
// Lets the close of the socket reset the connection, so that nothing is delivered any more.
void discardOutputAtClose(int descriptor);
// Returns and clears the pending error of a socket, such as that of a connect that has ended; 0 if there is none.
int socketError(int descriptor);
// Returns a non-blocking listening socket; closed if the address cannot be bound.
base::FileDescriptor listenOn(const http::SocketAddress&);
// Accepts the next pending connection. Returns a closed socket if there is none, or if the process lacks the resources
// for it, which `base::isScarcity` tells from the value of errno.
base::FileDescriptor acceptFrom(int listener);
// Returns how many received bytes wait to be read.
size_t unreadBytes(int descriptor);
// Limits the received bytes that the system holds for a socket that is not read, and keeps it from raising the limit. What the
// sender was told before may exceed it.
void limitReceiveBuffer(int descriptor, size_t bytes);
// Returns about how many received bytes the system holds for a socket that is not read.
size_t receiveBufferBytes(int descriptor);
// Returns whether unread bytes, the end of the input or an error are pending. Consumes nothing.
bool hasPendingInput(int descriptor);
// Appends the available bytes to `buffer` until it holds `maxBytes`, or up to one read block more.
ReadStatus readInto(int descriptor, boost::beast::flat_buffer& buffer, size_t maxBytes);

} // namespace redwingseam::gateway
