package admin

import "github.com/gofiber/fiber/v3"

// pageText is the status page. It polls /v1/status once a second.
const pageText = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>croftmoor</title>
<style>body{font:14px monospace;margin:2em}pre{white-space:pre-wrap}</style></head>
<body><h1>croftmoor</h1><p>Token <input id="token" type="password"> (needed when operators are set)</p>
<pre id="status">waiting for the first status</pre>
<script>
const show = async () => {
  const token = document.getElementById("token").value;
  const headers = token ? {Authorization: "Bearer " + token} : {};
  const answer = await fetch("/v1/status", {headers});
  document.getElementById("status").textContent = JSON.stringify(await answer.json(), null, 1);
};
setInterval(() => show().catch(e => { document.getElementById("status").textContent = String(e); }), 1000);
</script></body></html>
`

func (a *Admin) page(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, fiber.MIMETextHTMLCharsetUTF8)
	return c.SendString(pageText)
}
