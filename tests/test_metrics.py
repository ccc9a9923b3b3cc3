from wayslip import metrics


def test_label_that_can_not_be_encoded_leaves_the_page_readable():
    # Guards against a page that fails as a whole for one label.
    found = metrics.Metrics()
    found.count("refused", reason="kiosk-\ud83d")
    found.count("served", route="a")
    page = found.render()
    assert b'reason="kiosk-\\\\ud83d"' in page
    assert b'wayslip_served_total{route="a"} 1.0' in page
