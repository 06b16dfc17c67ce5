"""Authentication of console operators.

Each operator has a token, whose hash the configuration declares. Forms carry a
second value that is derived from the token and that another site can't know,
which prevents cross-site request forgery.
"""

from __future__ import annotations

import hashlib
import hmac
import http.cookies
from typing import TYPE_CHECKING

import msgspec

from pimentobridge.daemons import http as http_lib

if TYPE_CHECKING:
    from pimentobridge.core import configuration

COOKIE = "pimentobridge_token"
MAX_TOKEN_LENGTH = 200


class Session(msgspec.Struct, frozen=True):
    """An authenticated operator.

    Attributes:
        form_token: value that every form post must carry.
    """

    operator: str
    form_token: str


def token_hash(token: str) -> str:
    """Returns the hash by which the configuration declares a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def session_for(
    token: str, document: configuration.Document | None
) -> Session | None:
    """Returns the session of the operator with a token, or None."""
    if not token or len(token) > MAX_TOKEN_LENGTH or document is None:
        return None
    presented_hash = token_hash(token)
    for operator in document.operators:
        if hmac.compare_digest(presented_hash, operator.token_sha256.lower()):
            return Session(operator.name, _form_token(token))
    return None


def token_from_request(scope: http_lib.Scope) -> str:
    """Returns the token in a request's headers, or an empty string.

    A bearer token takes precedence over the cookie.
    """
    authorization = http_lib.header(scope, "Authorization")
    if authorization.startswith("Bearer "):
        return authorization[len("Bearer ") :].strip()
    cookies = http.cookies.SimpleCookie()
    try:
        cookies.load(http_lib.header(scope, "Cookie"))
    except http.cookies.CookieError:
        return ""
    morsel = cookies.get(COOKIE)
    return morsel.value if morsel is not None else ""


def set_cookie_header(token: str) -> tuple[bytes, bytes]:
    """Returns the `Set-Cookie` header that stores a token in the browser."""
    cookie = (
        f"{COOKIE}={token}; Path=/console; HttpOnly; SameSite=Strict;"
        " Max-Age=28800"
    )
    return b"set-cookie", cookie.encode()


def is_valid_form_token(session: Session, form_token: str) -> bool:
    """Returns whether a form post comes from a page of this session."""
    return hmac.compare_digest(session.form_token, form_token)


def _form_token(token: str) -> str:
    return hashlib.sha256(f"form {token}".encode()).hexdigest()
