"""Responses of a standby, a core process without a disk, to operators."""

from __future__ import annotations

import random

from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from zincvale.coordination.core.standby_machine import StandbyConfig, StandbyMachine
from zincvale.coordination.leases.messages import LeaseRedirect
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.daemons.standby_daemon import operator_application
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.model.machine import MessageReceived

PATH = "/v1/configuration?full=1"


class StandbyRedirectTest(AsyncHTTPTestCase):
    def get_app(self) -> Application:
        config = StandbyConfig(MemberId("core-9"), ZoneName("z"))
        self.machine = StandbyMachine(config, random.Random(1))
        return operator_application(self.machine)

    def learn_core(self) -> None:
        info = MemberInfo("core-1", "core", "z", "10.0.0.1:8000", "10.0.0.1:7000", "run")
        message = LeaseRedirect([info], "asked")
        self.machine.handle(MessageReceived(MemberId("core-1"), message), 0.0)

    def test_every_call_is_redirected_to_a_core_with_its_path_and_query(self) -> None:
        self.learn_core()
        for method, body in (("GET", None), ("PUT", b"x" * 4096), ("DELETE", None)):
            response = self.fetch(PATH, method=method, body=body, follow_redirects=False)
            self.assertEqual(307, response.code)
            self.assertEqual(f"http://10.0.0.1:8000{PATH}", response.headers["Location"])

    def test_without_a_known_core_the_caller_is_told_to_try_another_core(self) -> None:
        response = self.fetch(PATH, follow_redirects=False)
        self.assertEqual(503, response.code)
        self.assertIn(b"send the same call to another core", response.body)
