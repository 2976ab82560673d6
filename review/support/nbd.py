"""An NBD client, from the public specification: fixed newstyle, simple replies, one request at a time."""
import select
import socket
import struct

OPTION_MAGIC = 0x49484156454F5054
REQUEST_MAGIC = 0x25609513
SIMPLE_REPLY_MAGIC = 0x67446698
OPT_GO, REP_ACK, REP_INFO, REP_ERROR = 7, 1, 3, 1 << 31
INFO_EXPORT = 0
FLAG_SEND_FLUSH = 4
READ, WRITE, FLUSH = 0, 1, 3


class Client:
    def __init__(self, port, export, timeout=8.0):
        self.socket = socket.create_connection(("127.0.0.1", port), timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.cookie = 0
        self.flags = 0
        try:
            self._negotiate(export.encode())
        except Exception:
            self.socket.close()
            raise

    def _negotiate(self, name):
        assert self._take(8) == b"NBDMAGIC"
        magic, _ = struct.unpack(">QH", self._take(10))
        assert magic == OPTION_MAGIC
        self.socket.sendall(struct.pack(">I", 3))
        data = struct.pack(">I", len(name)) + name + struct.pack(">H", 0)
        self.socket.sendall(struct.pack(">QII", OPTION_MAGIC, OPT_GO, len(data)) + data)
        while True:
            _, _, kind, length = struct.unpack(">QIII", self._take(20))
            body = self._take(length)
            if kind == REP_ACK:
                return
            if kind >= REP_ERROR:
                raise OSError("export refused: %r" % body)
            if kind == REP_INFO and struct.unpack(">H", body[:2])[0] == INFO_EXPORT:
                _, self.flags = struct.unpack(">QH", body[2:12])

    def _take(self, count):
        out = b""
        while len(out) < count:
            piece = self.socket.recv(count - len(out))
            if not piece:
                raise OSError("the connection was closed")
            out += piece
        return out

    def send(self, command, offset=0, length=0, data=b""):
        self.cookie += 1
        self.socket.sendall(struct.pack(">IHHQQI", REQUEST_MAGIC, 0, command, self.cookie, offset,
                                        length) + data)

    def reply(self, read_length=0):
        """Returns the error, 0 for success, and the bytes that were read."""
        magic, error, cookie = struct.unpack(">IIQ", self._take(16))
        assert magic == SIMPLE_REPLY_MAGIC and cookie == self.cookie
        return error, self._take(read_length) if read_length and error == 0 else b""

    def has_received(self):
        return bool(select.select([self.socket], [], [], 0)[0])

    def write(self, offset, data):
        self.send(WRITE, offset, len(data), data)
        return self.reply()[0]

    def flush(self):
        self.send(FLUSH)
        return self.reply()[0]

    def read(self, offset, length):
        self.send(READ, offset, length)
        return self.reply(length)

    def close(self):
        self.socket.close()
